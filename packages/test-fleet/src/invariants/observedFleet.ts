/** The view that callers, operators and replicas have of a fleet under test, simulated or made of real processes. */
import type { HttpClient } from '@martenworks/core-types';
import type { Arrival, Breach, Run } from '../replica/replicaRecords.js';
import type { RequestKind } from '../workload/sampleDeployments.js';

/** The records of one incarnation of an emulated replica. */
export interface ReplicaIncarnation {
  readonly name: string;
  readonly incarnation: number;
  readonly runs: readonly Run[];
  readonly arrivals: readonly Arrival[];
  readonly breaches: readonly Breach[];
}

/** A run together with the replica that executed it. */
export interface ObservedRun extends Run {
  readonly replica: string;
  readonly incarnation: number;
}

/**
 * The fleet as seen from outside; a simulated fleet uses virtual time, a fleet of processes the clock of the machine.
 */
export interface ObservedFleet {
  readonly gatewayHosts: readonly string[];
  /** Milliseconds since a fixed start. */
  readonly now: () => number;
  /** Returns a seeded pseudo-random number in [0, 1). */
  readonly random: () => number;
  readonly after: (delayMs: number, callback: () => void) => void;
  /** Returns the HTTP client of a machine outside the fleet. */
  readonly externalClient: () => HttpClient;
  readonly replicaIncarnations: () => readonly ReplicaIncarnation[];
}

const appReplica = 'app-1';

/** Returns the pool of a replica of the sample deployments. */
export const poolOfReplica = (replica: string): string => (replica === appReplica ? 'app' : 'main');

/** Returns the pool that serves a kind of sample request. */
export const poolOfKind = (kind: RequestKind): string => (kind === 'book' ? 'app' : 'main');
