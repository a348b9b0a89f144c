/** The traffic that the estimates assume for the planned fleet, from the users' forecast. */
import { fleetSize } from '../fleetSize.js';

const secondsPerDay = 86_400;

/** Shares of the traffic, and the messages that nodes send regardless of it. */
export const traffic = {
  /** Share of requests whose prompt is long enough for a prefill notice to all gateways. */
  longPromptShare: 0.09,
  /** Pings per second of one gateway, and of one edge, to all control nodes. */
  gatewayPingsPerSecond: fleetSize.voters * 4,
  edgePingsPerSecond: fleetSize.voters * 2,
  changesPerSecond: fleetSize.changesPerDay / secondsPerDay,
  /** Share of member list exchanges whose other side is a control node. */
  controlNodeExchangeShare: 0.5,
  /** Blocks of one cached prompt prefix, which replicas behind edges report as one part. */
  blocksPerPrefix: 208,
};

/** Prefill notices in the fleet per second: one at the start and one at the end of the prefill of a long prompt. */
export const prefillNoticesPerSecond = fleetSize.requestsPerSecond * traffic.longPromptShare * 2;

/** Requests per second of one gateway or edge. */
export const requestsPerSecondPerEdge = fleetSize.requestsPerSecond / fleetSize.nodes;

/** Cache events per second if each event covers all blocks of a prefix. */
export const prefixEventsPerSecond = fleetSize.eventsPerSecond / traffic.blocksPerPrefix;
