/** Tenant isolation: requests run for the tenant that owns the key, and KV cache is never taken from another scope. */
import type { Call } from '../workload/callSender.js';
import { maxPropagationMs } from './observations.js';
import type { Evidence } from './observations.js';
import type { ObservedRun } from './observedFleet.js';
import type { Violation } from './violation.js';

const runViolations = (evidence: Evidence, call: Call, run: ObservedRun): Violation[] => {
  const grants = evidence.observations.grantsByKey
    .get(call.request.key)
    ?.filter((grant) => run.startedAt >= grant.validFrom && run.startedAt <= grant.validUntil + maxPropagationMs);
  if (grants?.length === 0)
    return [
      { rule: 'ran with a key that is not granted', detail: `${call.requestId} at ${Math.round(run.startedAt)}` },
    ];
  const owners = grants?.map((grant) => grant.tenant) ?? [call.request.tenant];
  if (owners.includes(run.tenant)) return [];
  return [{ rule: 'ran for another tenant', detail: `${call.requestId} of ${owners.join()} ran for ${run.tenant}` }];
};

const cacheViolations = (evidence: Evidence): Violation[] =>
  evidence.fleet.replicaIncarnations().flatMap(({ breaches }) =>
    breaches.map(
      ({ rule, requestId, block, holder }): Violation => ({
        rule: `foreign KV (${rule})`,
        detail: `${requestId} took ${block} from ${holder}`,
      }),
    ),
  );

/** Checks each run against the grants of its key, and reports the scope violations that replicas recorded. */
export const tenantViolations = (evidence: Evidence): Violation[] => [
  ...evidence.observations.calls.flatMap((call) =>
    evidence.runsOf(call).flatMap((run) => runViolations(evidence, call, run)),
  ),
  ...cacheViolations(evidence),
];
