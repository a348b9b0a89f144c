/** Configuration visibility: accepted changes take effect on every gateway in time, and rejected ones never do. */
import type { Call } from '../workload/callSender.js';
import { labelOf, maxPropagationMs } from './observations.js';
import type { Evidence, Probe } from './observations.js';
import type { ObservedRun } from './observedFleet.js';
import type { Violation } from './violation.js';

/** How long requests may still start on weights that were replaced. */
const oldWeightsGraceMs = 12_000;
const notYetAppliedCodes = new Set(['unknown_lane', 'lane_not_granted', 'unknown_key']);

const probeViolations = (evidence: Evidence, { call, change, shouldRun, priority }: Probe): Violation[] => {
  const runs = evidence.runsOf(call);
  const detail = `${change}: ${call.requestId} at ${call.host}, ${Math.round(call.sentAt)}: ${call.outcome} ${call.code}`;
  if (!shouldRun)
    return runs.length > 0 || call.outcome === 'whole' ? [{ rule: 'a rejected change took effect', detail }] : [];
  const violations: Violation[] = [];
  if (call.outcome === 'denied' && notYetAppliedCodes.has(call.code))
    violations.push({ rule: 'an accepted change is not in effect', detail });
  const priorities = runs.map((run) => run.priority);
  if (priorities.some((used) => used !== priority))
    violations.push({
      rule: 'an accepted change is not in effect',
      detail: `${detail} ran at ${priorities.join()}, not ${priority}`,
    });
  return violations;
};

const staleWeightsViolations = (evidence: Evidence, call: Call, run: ObservedRun): Violation[] => {
  const changes = evidence.weightsChangesFor(run.replica);
  const expected = changes.findLast((change) => call.sentAt >= change.acknowledgedAt + maxPropagationMs);
  const used = changes.findLast((change) => change.weights === run.weights);
  if (expected === undefined || used === undefined || used.sentAt >= expected.sentAt) return [];
  return [
    {
      rule: 'an accepted change is not in effect',
      detail: `${labelOf(call)} sent at ${Math.round(call.sentAt)} ran on ${run.weights}, not ${expected.weights}`,
    },
  ];
};

const oldWeightsViolations = (evidence: Evidence, run: ObservedRun): Violation[] => {
  const changes = evidence.weightsChangesFor(run.replica);
  const isAllowed = changes.some((change, index) => {
    const replacedAt = changes[index + 1]?.acknowledgedAt ?? Number.POSITIVE_INFINITY;
    return (
      change.weights === run.weights &&
      run.startedAt >= change.sentAt &&
      run.startedAt <= replacedAt + oldWeightsGraceMs
    );
  });
  if (isAllowed) return [];
  return [
    { rule: 'started on old weights', detail: `${run.requestId} on ${run.weights} at ${Math.round(run.startedAt)}` },
  ];
};

/** Checks the probes of configuration changes and the weights of every run. */
export const configurationViolations = (evidence: Evidence): Violation[] => [
  ...evidence.observations.calls.flatMap((call) =>
    evidence.runsOf(call).flatMap((run) => staleWeightsViolations(evidence, call, run)),
  ),
  ...evidence.observations.probes.flatMap((probe) => probeViolations(evidence, probe)),
  ...evidence.runs.flatMap((run) => oldWeightsViolations(evidence, run)),
];
