/** Input and result of replica selection. */
import type { Customer, PromptPart, RequestMetadata } from '@martenworks/core-types';
import type { ExpectedHit } from '../prefixcache/staleEntryDetector.js';
import type { TrackedReplica } from './trackedReplica.js';

/** A candidate with its estimated cost; the cheapest one runs the request. */
export interface ScoredCandidate {
  readonly tracked: TrackedReplica;
  /**
   * Version of the request's model that the replica runs; null if the request names no model or no version is known.
   */
  readonly version: number | null;
  /** Scope of prefix cache keys for this model, version and customer; null where no cache entry may be used. */
  readonly salt: string | null;
  /** True if the replica's own prefix cache has the affinity part. */
  readonly isCached: boolean;
  /** True if the replica is prefilling the affinity part for another request. */
  readonly isBeingPrefilled: boolean;
  /** True if rendezvous hashing ranks the replica first for the prompt. */
  readonly isPreferred: boolean;
  /** Tokens that the replica is expected to prefill. */
  readonly prefillTokens: number;
  /** Estimated milliseconds to pull the cached prefix from another address; 0 where nothing is pulled. */
  readonly pullMs: number;
  /** Estimated milliseconds to the first token, plus penalties and minus bonuses. */
  readonly costMs: number;
}

/** The replica that one attempt goes to, and where that replica gets the prompt's cached prefix from. */
export interface Placement extends ScoredCandidate {
  /** Address to pull the prefix from; null where the replica itself has it or no other address may. */
  readonly holder: string | null;
  /** Address of the cache store that the prompt is uploaded to; null for none. */
  readonly store: string | null;
  readonly affinityPart: PromptPart | null;
  /** The index entry that the placement relies on; checked against the time to the first chunk. */
  readonly expectedHit: ExpectedHit | null;
  /** The cache store's entry that the placement relies on in addition to the replica's own. */
  readonly secondExpectedHit: ExpectedHit | null;
  /** True if the replica is expected to prefill the whole prompt. */
  readonly isFullPrefill: boolean;
}

/** A request to be placed within a replica pool. */
export interface PlacementQuery {
  readonly pool: string;
  readonly metadata: RequestMetadata;
  readonly customer: Customer | null;
  /** Ids of the replicas that earlier attempts used. */
  readonly avoided: ReadonlySet<string>;
  /** Minimum start window in milliseconds: a replica where the request has to start sooner is not eligible. */
  readonly neededMs: number;
}

/** Target weights versions of models, and how long requests may still start on older ones. */
export interface WeightsTargetSource {
  /** The weights version that a model is being moved to; null where none was announced. */
  readonly of: (model: string) => WeightsTarget | null;
  /** Within how many milliseconds a request must start on this version of the model; Infinity on the newest target. */
  readonly startWindowMs: (model: string, version: number) => number;
}

/** The weights version that a model is being moved to, and for how many milliseconds it has been the target. */
export interface WeightsTarget {
  readonly version: number;
  readonly sinceMs: number;
  /** Previous targets, the latest first. */
  readonly earlier?: readonly WeightsTarget[];
}
