/** Data shared by all candidates of one placement. */
import type { RoutingTable } from '@martenworks/core-types';
import type { PlacementQuery, WeightsTarget } from './placement.js';
import type { PrefixLookup } from './prefixLookup.js';
import type { PromptAffinity } from './promptAffinity.js';
import type { TrackedReplica } from './trackedReplica.js';

/** One request's placement: the query, the replicas of its pool, and what is known about its prompt. */
export interface PlacementContext {
  readonly query: PlacementQuery;
  readonly stores: RoutingTable['stores'];
  readonly replicas: readonly TrackedReplica[];
  readonly affinity: PromptAffinity;
  readonly lookup: PrefixLookup;
  /** Replicas in the order in which rendezvous hashing ranks them for the prompt. */
  readonly preferred: readonly TrackedReplica[];
  readonly target: WeightsTarget | null;
  /** True if some healthy replica of the pool is prefilling the affinity part. */
  readonly isPrefillRunning: boolean;
  /** Estimated milliseconds to transfer the cache entries of `tokens` tokens between two addresses. */
  readonly pullMs: (tokens: number) => number;
}
