/** At-most-once execution: once-only requests never run twice, and requests reported as not run did not run. */
import type { Call } from '../workload/callSender.js';
import type { RequestKind } from '../workload/sampleDeployments.js';
import { labelOf } from './observations.js';
import type { Evidence } from './observations.js';
import type { Violation } from './violation.js';

const onceOnlyLanes = new Set<RequestKind>(['confirm', 'book']);

const isReportedNotRun = (call: Call): boolean => call.outcome === 'denied' && call.ran === 'no';

const callViolations = (evidence: Evidence, call: Call): Violation[] => {
  const violations: Violation[] = [];
  const runCount = evidence.runsOf(call).length;
  const label = labelOf(call);
  if (onceOnlyLanes.has(call.request.kind) && runCount > 1)
    violations.push({ rule: 'runs twice', detail: `${label}: ${runCount} runs` });
  if (isReportedNotRun(call) && runCount > 0) violations.push({ rule: 'reported as not run, but ran', detail: label });
  return violations;
};

/**
 * A "not run" response contradicts only runs that started before it: a later run belongs to another call with the same
 * key.
 */
const keyViolations = (evidence: Evidence, key: string, calls: readonly Call[]): Violation[] => {
  const runs = calls.flatMap(evidence.runsOf);
  const violations: Violation[] = calls
    .filter((call) => isReportedNotRun(call) && runs.some((run) => run.startedAt <= call.endedAt))
    .map((call) => ({ rule: 'reported as not run, but ran', detail: `${call.requestId} under key ${key}` }));
  if (runs.length > 1) violations.push({ rule: 'runs twice', detail: `idempotency key ${key}: ${runs.length} runs` });
  return violations;
};

const probeViolations = (evidence: Evidence): Violation[] =>
  evidence.observations.probes
    .filter((probe) => probe.shouldRun && probe.repeat === 'once' && evidence.runsOf(probe.call).length > 1)
    .map(({ call, change }) => ({ rule: 'runs twice', detail: `${change}: ${labelOf(call)}` }));

/** Checks calls to once-only lanes, calls with idempotency keys, and probes of once-only lanes. */
export const atMostOnceViolations = (evidence: Evidence): Violation[] => [
  ...evidence.observations.calls.flatMap((call) => callViolations(evidence, call)),
  ...[...evidence.callsByIdempotencyKey()].flatMap(([key, calls]) => keyViolations(evidence, key, calls)),
  ...probeViolations(evidence),
];
