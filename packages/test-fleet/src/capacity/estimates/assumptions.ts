/** The traffic that the estimates assume for the planned fleet, from the users' forecast. */
import { fleetSize } from '../fleetSize.js';

const secondsPerDay = 86_400;

/** Shares of the traffic, and what nodes send each second without it. */
export const traffic = {
  /** Requests whose prompt is long enough for a notice to all gateways. */
  longShare: 0.09,
  /** Pings a second of one gateway to all control nodes: of the product's own API, and of the users' platform. */
  corePings: fleetSize.voters * 4,
  edgePings: fleetSize.voters * 2,
  changesASecond: fleetSize.changesADay / secondsPerDay,
  /** Membership exchanges whose other side is a control node. */
  rosterShareToCores: 0.5,
  /** Blocks of one cached prompt prefix, which the users' platform reports as one part. */
  blocksInAChain: 208,
};

/** Notices of heavy prefills in the fleet each second: one as a long prompt begins and one as it ends. */
export const heavyNotices = fleetSize.requests * traffic.longShare * 2;

/** Requests a second of one gateway. */
export const requestsPerEdge = fleetSize.requests / fleetSize.nodes;

/** Cache events a second where each tells of a whole chain of blocks. */
export const chainEvents = fleetSize.events / traffic.blocksInAChain;
