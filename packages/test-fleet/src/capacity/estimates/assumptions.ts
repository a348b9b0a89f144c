/** The traffic that the estimates assume for the planned fleet, from the users' forecast. */
import { fleetSize } from '../fleetSize.js';

const secondsPerDay = 86_400;

/** Shares of the traffic, and what nodes send each second without it. */
export const traffic = {
  /** Requests whose prompt is long enough for a notice to all gateways. */
  longPromptShare: 0.09,
  /** Pings a second of one gateway to all control nodes: of the product's own API, and of the users' platform. */
  gatewayPingsPerSecond: fleetSize.voters * 4,
  edgePingsPerSecond: fleetSize.voters * 2,
  changesPerSecond: fleetSize.changesPerDay / secondsPerDay,
  /** Membership exchanges whose other side is a control node. */
  exchangesWithControlNodesShare: 0.5,
  /** Blocks of one cached prompt prefix, which the users' platform reports as one part. */
  blocksPerPrefix: 208,
};

/** Notices of heavy prefills in the fleet each second: one as a long prompt begins and one as it ends. */
export const prefillNoticesPerSecond = fleetSize.requestsPerSecond * traffic.longPromptShare * 2;

/** Requests a second of one gateway. */
export const requestsPerSecondPerEdge = fleetSize.requestsPerSecond / fleetSize.nodes;

/** Cache events a second where each tells of a whole chain of blocks. */
export const prefixEventsPerSecond = fleetSize.eventsPerSecond / traffic.blocksPerPrefix;
