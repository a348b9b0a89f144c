/** What a test run did and saw: the evidence that the invariants are checked against. */
import type { Call } from '../workload/callSender.js';
import { poolOfReplica } from './observedFleet.js';
import type { ObservedFleet, ObservedRun } from './observedFleet.js';

/** A key that is valid for one tenant in a span of time. */
export interface Grant {
  readonly tenant: string;
  /** Milliseconds of the fleet's clock. */
  readonly validFrom: number;
  /** Infinite until the key is revoked. */
  validUntil: number;
}

/** A call sent after a change of the configuration, to see whether the change is in force. */
export interface Probe {
  readonly call: Call;
  readonly change: string;
  /** False for a change that was rejected: its call must not run. */
  readonly shouldRun: boolean;
  readonly priority: number;
  readonly repeat: 'once' | 'freely';
}

/** A change of the weights that a pool runs. */
export interface WeightsChange {
  /** When the change was sent. */
  readonly sentAt: number;
  /** When it was acknowledged; infinite until then. */
  acknowledgedAt: number;
  readonly pool: string;
  readonly weights: string;
}

/** A replica incarnation that was told to drain, and when. */
export interface DrainNotice {
  readonly name: string;
  readonly incarnation: number;
  readonly at: number;
}

/** Milliseconds in which an acknowledged change must have reached every gateway. */
export const maxPropagationMs = 2_000;

/** Records that accumulate over a run. */
export interface Observations {
  readonly calls: readonly Call[];
  readonly weightsChanges: readonly WeightsChange[];
  /** The grants of each key in turn; an empty list for a key that was never granted. */
  readonly grantsByKey: ReadonlyMap<string, readonly Grant[]>;
  readonly probes: readonly Probe[];
  readonly drainNotices: readonly DrainNotice[];
}

/** The observations together with the replicas' records, indexed for the checks. */
export class Evidence {
  /** Every run that any replica recorded. */
  readonly runs: readonly ObservedRun[];
  private readonly byRequest = new Map<string, ObservedRun[]>();

  constructor(
    /** What the run did and saw. */
    readonly observations: Observations,
    /** The fleet whose replicas were read. */
    readonly fleet: ObservedFleet,
  ) {
    this.runs = observedRuns(fleet);
    for (const run of this.runs) {
      const sameRequest = this.byRequest.get(run.requestId);
      if (sameRequest === undefined) this.byRequest.set(run.requestId, [run]);
      else sameRequest.push(run);
    }
  }

  /** All runs of one call, on any replica. */
  readonly runsOf = (call: Call): readonly ObservedRun[] => this.byRequest.get(call.requestId) ?? [];

  /** The weights changes of the pool that a replica belongs to, in order. */
  readonly weightsChangesFor = (replica: string): readonly WeightsChange[] =>
    this.observations.weightsChanges.filter((change) => change.pool === poolOfReplica(replica));

  /** The calls that carry an idempotency key, grouped by tenant and key. */
  readonly callsByIdempotencyKey = (): ReadonlyMap<string, readonly Call[]> => {
    const keyed = new Map<string, Call[]>();
    for (const call of this.observations.calls) {
      if (call.idempotencyKey === null) continue;
      const key = `${call.request.tenant}/${call.idempotencyKey}`;
      keyed.set(key, [...(keyed.get(key) ?? []), call]);
    }
    return keyed;
  };
}

/** Every run that any replica incarnation recorded. */
export const observedRuns = (fleet: ObservedFleet): ObservedRun[] =>
  fleet
    .replicaIncarnations()
    .flatMap(({ name, incarnation, runs }) => runs.map((run) => ({ ...run, replica: name, incarnation })));

/** How a call is named in reports. */
export const labelOf = (call: Call): string => `${call.requestId} ${call.request.kind} ${call.outcome}`;
