/** Dependencies that all stages of the pipeline share. */
import type { MetricCounters, Ports } from '@martenworks/core-types';
import type { GatewaySettings } from '@martenworks/settings';
import type { StateView } from '../state/stateView.js';
import type { Claims } from '../claims/claims.js';
import type { Freshness } from '../state/freshness.js';
import type { ReplicaTracker } from '../replicas/replicaTracker.js';

/** The parts of one gateway that its stages use. */
export interface StageContext {
  readonly settings: GatewaySettings;
  readonly ports: Ports;
  readonly stateView: StateView;
  readonly replicaTracker: ReplicaTracker;
  readonly freshness: Freshness;
  readonly metrics: MetricCounters;
  readonly claims: Claims;
}
