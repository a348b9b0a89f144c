/** How well callers were served while faults lasted and after them. */
import type { Call } from '../workload/callSender.js';
import { keyOf, sampleWorkload } from '../workload/sampleDeployments.js';
import type { FaultKind } from './faultSchedule.js';

/** Milliseconds after which service must have recovered from a fault. */
export const recoveryLimitMs = 12_000;
const serviceShare = 0.9;
const serviceWindowMs = 1_000;
const windowStepMs = 100;

/** The span of one injected fault, in virtual milliseconds. */
export interface FaultInterval {
  readonly kind: FaultKind;
  readonly from: number;
  readonly to: number;
}

/** A fault and the milliseconds until nine in ten calls of a second were served again; null: not within 12 s. */
export interface RecoveredInterval extends FaultInterval {
  readonly recoveryMs: number | null;
}

/** The calls of a tier that were answered whole, and all of them, while faults lasted and after the last. */
export interface ServedShare {
  readonly tier: string;
  readonly during: readonly [whole: number, all: number];
  readonly after: readonly [whole: number, all: number];
}

const isServed = (call: Call): boolean => call.outcome === 'whole';

const hasOrdinaryKey = ({ request }: Call): boolean => request.key === keyOf(request.tenant);

const isOrdinary = (call: Call): boolean =>
  call.idempotencyKey === null &&
  hasOrdinaryKey(call) &&
  call.request.tenant !== sampleWorkload.probeTenant &&
  !call.isAborted;

const recoveryTime = (calls: readonly Call[], endedAt: number): number | null => {
  for (let at = endedAt; at < endedAt + recoveryLimitMs; at += windowStepMs) {
    const inWindow = calls.filter((call) => call.sentAt >= at && call.sentAt < at + serviceWindowMs);
    if (inWindow.length > 0 && inWindow.filter(isServed).length >= inWindow.length * serviceShare) return at - endedAt;
  }
  return null;
};

/** Adds the time of recovery to each fault; probes, keyed, aborted and unauthorized calls do not count. */
export const recoveredIntervals = (
  calls: readonly Call[],
  intervals: readonly FaultInterval[],
): RecoveredInterval[] => {
  const ordinary = calls.filter(isOrdinary);
  return intervals.map((interval) => ({ ...interval, recoveryMs: recoveryTime(ordinary, interval.to) }));
};

/** The shares of each tier that had calls; the same calls count as for recovery. */
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
