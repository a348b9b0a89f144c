/** Types shared by the modules that forward a request. */
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
 * An admitted request: its route, customer, pool and body. `keyHash` is the hash of its API key, stored so that the key is
 * hashed only once.
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

/** What forwarding a request needs from its edge. Times are in milliseconds. */
export interface EdgeContext {
  readonly ports: Ports;
  readonly headerCodec: HeaderCodec;
  readonly replicaTracker: ReplicaTracker;
  readonly prefixCaches: PrefixCacheIndex;
  readonly retryBudget: RetryBudget;
  readonly control: ControlConnection;
  readonly metrics: MetricCounters;
  readonly isClosing: boolean;
  /** `versionMs`: milliseconds after newer weights became the target during which a request may start on older ones. */
  readonly settings: Pick<NodeSettings, 'versionMs'>;
  /** The weights that models are being moved to, and how long requests may still start on older ones. */
  readonly weightsTargets: WeightsTargets;
  readonly isStillAdmitted: (admission: Admission) => boolean;
  readonly place: (query: PlacementQuery) => Placement | null;
  readonly hasUntriedReplica: (pool: string, avoided: ReadonlySet<string>) => boolean;
  readonly nextPrefillId: () => string;
  readonly checkExpectedHit: (timing: ResponseTiming, elapsedMs: number) => boolean;
  readonly reject: (call: Call, status: number, message: string, retryAfterMs: number | null) => void;
}
