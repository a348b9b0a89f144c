/** Measures how well callers were served during and after faults. */
import type { Call } from '../workload/callSender.js';
import { keyOf, sampleWorkload } from '../workload/sampleDeployments.js';
import type { FaultKind } from './faultSchedule.js';

/** Milliseconds within which service must recover from a fault. */
export const recoveryLimitMs = 12_000;
const serviceShare = 0.9;
const serviceWindowMs = 1_000;
const serviceWindowStepMs = 100;

/** The start and end of one injected fault, in virtual milliseconds. */
export interface FaultInterval {
  readonly kind: FaultKind;
  readonly from: number;
  readonly to: number;
}

/** A fault and the time until 90 % of the calls of one second were served again; null if not within 12 s. */
export interface RecoveredInterval extends FaultInterval {
  readonly recoveryMs: number | null;
}

/** The number of completely served calls of a tier and of all its calls, during faults and between or after them. */
export interface ServedShare {
  readonly tier: string;
  readonly during: readonly [served: number, all: number];
  readonly after: readonly [served: number, all: number];
}

const isServed = (call: Call): boolean => call.outcome === 'whole';

const hasOrdinaryKey = ({ request }: Call): boolean => request.key === keyOf(request.tenant);

const isOrdinary = (call: Call): boolean =>
  call.idempotencyKey === null &&
  hasOrdinaryKey(call) &&
  call.request.tenant !== sampleWorkload.probeTenant &&
  !call.isAborted;

const recoveryTime = (calls: readonly Call[], endedAt: number): number | null => {
  for (let at = endedAt; at < endedAt + recoveryLimitMs; at += serviceWindowStepMs) {
    const callsInWindow = calls.filter((call) => call.sentAt >= at && call.sentAt < at + serviceWindowMs);
    if (callsInWindow.length > 0 && callsInWindow.filter(isServed).length >= callsInWindow.length * serviceShare)
      return at - endedAt;
  }
  return null;
};

/**
 * Adds the recovery time to each fault; probes, aborted calls and calls with idempotency or other API keys do not
 * count.
 */
export const recoveredIntervals = (
  calls: readonly Call[],
  intervals: readonly FaultInterval[],
): RecoveredInterval[] => {
  const ordinary = calls.filter(isOrdinary);
  return intervals.map((interval) => ({ ...interval, recoveryMs: recoveryTime(ordinary, interval.to) }));
};

/** Returns the served share of each tier that had calls; counts the same calls as `recoveredIntervals`. */
export const servedShares = (calls: readonly Call[], intervals: readonly FaultInterval[]): ServedShare[] => {
  const ordinary = calls.filter(isOrdinary);
  const isDuring = (call: Call): boolean => intervals.some(({ from, to }) => call.sentAt >= from && call.sentAt <= to);
  const isAfter = (call: Call): boolean => !isDuring(call) && intervals.some(({ to }) => call.sentAt > to);
  const count = (some: readonly Call[]): [number, number] => [some.filter(isServed).length, some.length];
  return Object.keys(sampleWorkload.tiers).flatMap((tier) => {
    const ofTier = ordinary.filter((call) => call.request.tier === tier);
    if (ofTier.length === 0) return [];
    return [{ tier, during: count(ofTier.filter(isDuring)), after: count(ofTier.filter(isAfter)) }];
  });
};
