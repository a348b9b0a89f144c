/** Replica selection: which replica runs a request, and where that replica gets the prompt's cached prefix from. */
import { RendezvousHash } from '@martenworks/core-types';
import type { Clock, RoutingTable } from '@martenworks/core-types';
import type { RoutingTableView } from '@martenworks/route-table';
import type { PrefixCacheIndex } from '../prefixcache/prefixCacheIndex.js';
import { CandidateScorer } from './candidateScorer.js';
import { HolderSelector } from './holderSelector.js';
import type { Placement, PlacementQuery, WeightsTargetSource } from './placement.js';
import type { PlacementContext } from './placementContext.js';
import { PrefixLookup } from './prefixLookup.js';
import { promptAffinity } from './promptAffinity.js';
import type { PromptAffinity } from './promptAffinity.js';
import type { ReplicaTracker } from './replicaTracker.js';
import type { TrackedReplica } from './trackedReplica.js';
import { WeightsEligibility } from './weightsEligibility.js';

const affinityHash = new RendezvousHash({ algorithm: 'sha1', separator: '\n' });
const bitsPerByte = 8;
const bitsPerMsAndMbps = 1_000;

type Engine = RoutingTable['pools'][number]['engine'];

const pullMs = (engine: Engine, tokens: number): number =>
  engine === null || !(engine.linkMbps > 0)
    ? 0
    : (tokens * engine.tokenBytes * bitsPerByte) / (engine.linkMbps * bitsPerMsAndMbps);

/**
 * Chooses the replica that runs a request and the address that the replica pulls a missing prefix from. Preferred
 * replicas follow from rendezvous hashing of the affinity part (Thaler and Ravishankar), so that edges choose alike
 * without coordination. If the preferred replica is busy, another one runs the request and pulls the prefix from it ("A
 * System for Microserving of LLMs").
 */
export class ReplicaSelector {
  private readonly weights: WeightsEligibility;
  private readonly scorer: CandidateScorer;
  private readonly holderSelector: HolderSelector;

  constructor(
    private readonly replicaTracker: ReplicaTracker,
    private readonly prefixCaches: PrefixCacheIndex,
    private readonly clock: Clock,
    weightsTargets: WeightsTargetSource,
  ) {
    this.weights = new WeightsEligibility(weightsTargets);
    this.scorer = new CandidateScorer(replicaTracker, prefixCaches, this.weights);
    this.holderSelector = new HolderSelector(replicaTracker, prefixCaches, affinityHash);
  }

  /**
   * Places a request; returns null where no replica of its pool is available. `connections` limits the requests that
   * this edge may have running on one replica.
   */
  readonly place = (query: PlacementQuery, view: RoutingTableView, connections: number): Placement | null => {
    const replicas = this.replicaTracker.inPool(query.pool);
    const candidates = replicas.filter((tracked) => this.isCandidate(tracked, query, view, connections));
    if (candidates.length === 0) return null;
    const context = this.placementContext(query, view, replicas);
    const offset = Math.floor(this.clock.now()) % candidates.length;
    const cheapest = this.scorer.cheapest(context, candidates, offset);
    return cheapest === null ? null : this.holderSelector.complete(context, cheapest);
  };

  private readonly isCandidate = (
    tracked: TrackedReplica,
    query: PlacementQuery,
    view: RoutingTableView,
    connections: number,
  ): boolean =>
    !tracked.endpoint.isLeaving &&
    !this.replicaTracker.health.isUnavailable(tracked) &&
    this.weights.mayRun(tracked, query, view) &&
    !query.avoided.has(tracked.endpoint.id) &&
    tracked.running < connections;

  private readonly placementContext = (
    query: PlacementQuery,
    view: RoutingTableView,
    replicas: readonly TrackedReplica[],
  ): PlacementContext => {
    const { metadata, pool } = query;
    const affinity = promptAffinity.of(metadata.parts);
    const engine = view.pool(pool)?.engine ?? null;
    return {
      query,
      stores: view.routingTable.stores,
      replicas,
      affinity,
      lookup: new PrefixLookup(this.prefixCaches, metadata.parts, affinity.index),
      preferred: this.preferred(query, affinity, replicas),
      target: metadata.model === null ? null : this.weights.targetOf(metadata.model),
      isPrefillRunning: replicas.some((tracked) => this.isPrefilling(tracked, query, affinity)),
      pullMs: (tokens) => pullMs(engine, tokens),
    };
  };

  private readonly preferred = (
    query: PlacementQuery,
    { part }: PromptAffinity,
    replicas: readonly TrackedReplica[],
  ): TrackedReplica[] => {
    if (part === null) return [];
    const { customer } = query;
    const isQuarantined = (tracked: TrackedReplica): boolean => {
      const { salt } = this.weights.servedBy(tracked, query);
      return salt !== null && this.prefixCaches.isQuarantined(tracked.endpoint.address, salt, part.id);
    };
    return affinityHash.ranked(
      `${part.id}${customer?.isIsolated === true ? customer.name : ''}`,
      replicas.filter((tracked) => !tracked.endpoint.isLeaving && !isQuarantined(tracked)),
      (tracked) => tracked.endpoint.id,
    );
  };

  private readonly isPrefilling = (
    tracked: TrackedReplica,
    query: PlacementQuery,
    { trackedPart }: PromptAffinity,
  ): boolean => {
    if (trackedPart === null) return false;
    const { salt } = this.weights.servedBy(tracked, query);
    return (
      salt !== null &&
      !tracked.endpoint.isLeaving &&
      !this.replicaTracker.health.isSuspect(tracked) &&
      this.prefixCaches.isPrefilling(tracked.endpoint.address, salt, trackedPart.id)
    );
  };
}
