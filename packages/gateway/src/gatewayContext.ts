/** The parts of a gateway that its peer modules share. */
import type { FailureDetector, MemberList, PeerPool } from '@martenworks/cluster-membership';
import type { Ports } from '@martenworks/core-types';
import type { Claims } from './claims/claims.js';
import type { Stages } from './pipeline/stages.js';
import type { ReplicaTracker } from './replicas/replicaTracker.js';
import type { Freshness } from './state/freshness.js';
import type { StateView } from './state/stateView.js';

/** Implemented by `Gateway`, where each part is documented. */
export interface GatewayContext {
  readonly ports: Ports;
  readonly memberList: MemberList;
  readonly peerPool: PeerPool;
  readonly failureDetector: FailureDetector;
  readonly stateView: StateView;
  readonly freshness: Freshness;
  readonly replicaTracker: ReplicaTracker;
  readonly claims: Claims;
  readonly stages: Stages;
}
