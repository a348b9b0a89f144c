/** The actions and observations of a test run, against which the invariants are checked. */
import type { Call } from '../workload/callSender.js';
import { poolOfReplica } from './observedFleet.js';
import type { ObservedFleet, ObservedRun } from './observedFleet.js';

/** A period in which a key is valid for one tenant. */
export interface Grant {
  readonly tenant: string;
  /** Milliseconds of the fleet's clock. */
  readonly validFrom: number;
  /** Infinite until the key is revoked. */
  validUntil: number;
}

/** A call sent after a configuration change to check whether the change is in effect. */
export interface Probe {
  readonly call: Call;
  readonly change: string;
  /** False for a rejected change, whose call must not run. */
  readonly shouldRun: boolean;
  readonly priority: number;
  readonly repeat: 'once' | 'freely';
}

/** A change of the weights of a pool. */
export interface WeightsChange {
  /** Time at which the change was sent. */
  readonly sentAt: number;
  /** Time at which it was acknowledged; infinite until then. */
  acknowledgedAt: number;
  readonly pool: string;
  readonly weights: string;
}

/** A drain notice for a replica incarnation, with its time. */
export interface DrainNotice {
  readonly name: string;
  readonly incarnation: number;
  readonly at: number;
}

/** Time within which an acknowledged change must reach every gateway. */
export const maxPropagationMs = 2_000;

/** The records of a run so far. */
export interface Observations {
  readonly calls: readonly Call[];
  readonly weightsChanges: readonly WeightsChange[];
  /** The grants of each key in order; an empty list for a key that was never granted. */
  readonly grantsByKey: ReadonlyMap<string, readonly Grant[]>;
  readonly probes: readonly Probe[];
  readonly drainNotices: readonly DrainNotice[];
}

/** Combines the observations with the records of the replicas, indexed for the checks. */
export class Evidence {
  /** Every run that any replica recorded. */
  readonly runs: readonly ObservedRun[];
  private readonly byRequest = new Map<string, ObservedRun[]>();

  constructor(
    /** The observations of the run. */
    readonly observations: Observations,
    /** The fleet whose replica records are used. */
    readonly fleet: ObservedFleet,
  ) {
    this.runs = observedRuns(fleet);
    for (const run of this.runs) {
      const sameRequest = this.byRequest.get(run.requestId);
      if (sameRequest === undefined) this.byRequest.set(run.requestId, [run]);
      else sameRequest.push(run);
    }
  }

  /** Returns all runs of one call on any replica. */
  readonly runsOf = (call: Call): readonly ObservedRun[] => this.byRequest.get(call.requestId) ?? [];

  /** Returns the weights changes of the pool of a replica, in order. */
  readonly weightsChangesFor = (replica: string): readonly WeightsChange[] =>
    this.observations.weightsChanges.filter((change) => change.pool === poolOfReplica(replica));

  /** Returns the calls with an idempotency key, grouped by tenant and key. */
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

/** Returns every run that any replica incarnation recorded. */
export const observedRuns = (fleet: ObservedFleet): ObservedRun[] =>
  fleet
    .replicaIncarnations()
    .flatMap(({ name, incarnation, runs }) => runs.map((run) => ({ ...run, replica: name, incarnation })));

/** Returns the label of a call in reports. */
export const labelOf = (call: Call): string => `${call.requestId} ${call.request.kind} ${call.outcome}`;
