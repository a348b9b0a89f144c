/** Tenant isolation: requests run for the tenant that holds the key, and KV cache is never taken from a foreign scope. */
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
    return [{ rule: 'a key not granted', detail: `${call.requestId} at ${Math.round(run.startedAt)}` }];
  const holders = grants?.map((grant) => grant.tenant) ?? [call.request.tenant];
  if (holders.includes(run.tenant)) return [];
  return [{ rule: 'another tenant', detail: `${call.requestId} of ${holders.join()} ran for ${run.tenant}` }];
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

/** Checks each run against the grants of its key, and each pull of KV cache against its scope. */
export const tenantViolations = (evidence: Evidence): Violation[] => [
  ...evidence.observations.calls.flatMap((call) =>
    evidence.runsOf(call).flatMap((run) => runViolations(evidence, call, run)),
  ),
  ...cacheViolations(evidence),
];
