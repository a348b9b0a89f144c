/** What callers, operators and replicas see of a fleet under test, simulated or of real processes. */
import type { HttpClient } from '@martenworks/core-types';
import type { Arrival, Breach, Run } from '../replica/replicaRecords.js';
import type { RequestKind } from '../workload/sampleDeployments.js';

/** All that one incarnation of an emulated replica recorded. */
export interface ReplicaIncarnation {
  readonly name: string;
  readonly incarnation: number;
  readonly runs: readonly Run[];
  readonly arrivals: readonly Arrival[];
  readonly breaches: readonly Breach[];
}

/** A run together with the replica that did it. */
export interface ObservedRun extends Run {
  readonly replica: string;
  readonly incarnation: number;
}

/** The fleet as seen from outside; the simulator gives virtual time, a fleet of processes the machine's clock. */
export interface ObservedFleet {
  readonly gatewayHosts: readonly string[];
  /** Milliseconds since a fixed start. */
  readonly now: () => number;
  /** A seeded number from 0 up to 1. */
  readonly random: () => number;
  readonly after: (delayMs: number, callback: () => void) => void;
  /** The HTTP client of a machine that is no part of the fleet. */
  readonly externalClient: () => HttpClient;
  readonly replicaIncarnations: () => readonly ReplicaIncarnation[];
}

const appReplica = 'app-1';

/** The pool that a replica of the sample deployments belongs to. */
export const poolOfReplica = (replica: string): string => (replica === appReplica ? 'app' : 'main');

/** The pool that serves a kind of sample request. */
export const poolOfKind = (kind: RequestKind): string => (kind === 'book' ? 'app' : 'main');
