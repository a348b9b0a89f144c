/** What the modules of an edge share while a request is being forwarded. */
import type { RequestMetadata, Customer, Ports, HeaderCodec, MetricCounters } from '@martenworks/core-types';
import type { NodeSettings } from '@martenworks/settings';
import type { RouteView } from '@martenworks/route-table';
import type { Call } from './ingress/call.js';
import type { ControlConnection } from './control/controlConnection.js';
import type { RetryBudget } from './forwarding/retryBudget.js';
import type { ReplicaTracker } from './routing/replicaTracker.js';
import type { PrefixCacheIndex } from './prefixcache/prefixCacheIndex.js';
import type { WeightsTargets } from './routing/weightsTargets.js';
import type { ResponseTiming } from './prefixcache/staleEntryDetector.js';
import type { Placement, PlacementQuery } from './routing/placement.js';

/**
 * A caller's request as it was let in: by which route, for which customer, under which key (its hash, kept so that it
 * is hashed once).
 */
export interface Admission {
  readonly call: Call;
  readonly metadata: RequestMetadata;
  readonly keyHash: string | null;
  readonly view: RouteView;
  readonly customer: Customer | null;
  readonly pool: string;
  readonly body: Uint8Array;
}

/** What the forwarding of a request needs of its edge. Times are in milliseconds. */
export interface EdgeContext {
  readonly ports: Ports;
  readonly headerCodec: HeaderCodec;
  readonly replicaTracker: ReplicaTracker;
  readonly prefixCaches: PrefixCacheIndex;
  readonly retryBudget: RetryBudget;
  readonly control: ControlConnection;
  readonly metrics: MetricCounters;
  readonly isClosing: boolean;
  /** Of the settings: `versionMs`, how long after the naming of newer weights a request may begin on older ones. */
  readonly settings: Pick<NodeSettings, 'versionMs'>;
  /** The weights that models are being moved to, and how long requests may begin on older ones. */
  readonly weightsTargets: WeightsTargets;
  readonly isStillAdmitted: (admission: Admission) => boolean;
  readonly place: (question: PlacementQuery) => Placement | null;
  readonly hasUntriedReplica: (pool: string, avoided: ReadonlySet<string>) => boolean;
  readonly nextPrefillId: () => string;
  readonly checkExpectedHit: (timing: ResponseTiming, elapsedMs: number) => boolean;
  readonly reject: (call: Call, status: number, message: string, comeBackMs: number | null) => void;
}
