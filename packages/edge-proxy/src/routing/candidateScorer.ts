/** Estimates the cost of running a request on each eligible replica. */
import type { PrefixCacheIndex } from '../prefixcache/prefixCacheIndex.js';
import type { ScoredCandidate } from './placement.js';
import type { PlacementContext } from './placementContext.js';
import type { ReplicaTracker } from './replicaTracker.js';
import type { TrackedReplica } from './trackedReplica.js';
import type { WeightsEligibility } from './weightsEligibility.js';

const runningRequestCostMs = 4;
const affinityBonusMs = 60;
const secondChoiceBonusMs = 20;
const queuedPrefillShare = 0.8;
const oldWeightsCostMs = 15;
const suspectCostMs = 2_000;
const duplicatePrefillCostMs = 800;
const errorRateCostMs = 800;
const negligibleErrorRate = 0.05;

/**
 * Where a candidate can get the tracked prefix from: its own cache, a prefill already running there, another replica, or
 * nowhere.
 */
type PrefixAvailability = 'cached' | 'being prefilled' | 'transferable' | 'missing';

/** Scores the candidates of one placement by estimated cost in milliseconds; the lowest cost wins. */
export class CandidateScorer {
  constructor(
    private readonly replicaTracker: ReplicaTracker,
    private readonly prefixCaches: PrefixCacheIndex,
    private readonly weights: WeightsEligibility,
  ) {}

  /** Returns the cheapest candidate, the first from `offset` on among equals; null where there is none. */
  readonly cheapest = (
    context: PlacementContext,
    candidates: readonly TrackedReplica[],
    offset: number,
  ): ScoredCandidate | null => {
    let cheapest: ScoredCandidate | null = null;
    for (let step = 0; step < candidates.length; step += 1) {
      const candidate = this.score(context, candidates[(step + offset) % candidates.length] as TrackedReplica);
      if (cheapest === null || candidate.costMs < cheapest.costMs) cheapest = candidate;
    }
    return cheapest;
  };

  private readonly score = (context: PlacementContext, tracked: TrackedReplica): ScoredCandidate => {
    const { query, affinity, preferred } = context;
    const { version, salt } = this.weights.servedBy(tracked, query);
    const rank = preferred.indexOf(tracked);
    const availability = this.availability(context, tracked, salt);
    const isMissing = availability === 'missing';
    const prefillTokens = Math.max(0, query.metadata.tokensIn - (isMissing ? 0 : affinity.prefixTokens));
    const pullMs = availability === 'transferable' ? context.pullMs(affinity.prefixTokens) : 0;
    const transferMs =
      availability === 'transferable'
        ? this.replicaTracker.prefillRates.prefillMs(affinity.prefixTokens) * queuedPrefillShare + pullMs
        : 0;
    const costMs =
      this.replicaTracker.prefillRates.prefillMs(tracked.pendingTokens + tracked.otherEdgesTokens + prefillTokens) +
      tracked.running * runningRequestCostMs +
      transferMs +
      (context.isPrefillRunning && isMissing ? duplicatePrefillCostMs : 0) -
      this.bonusMs(context, rank, isMissing) +
      (this.replicaTracker.health.isSuspect(tracked) ? suspectCostMs : 0) +
      this.errorPenaltyMs(tracked) +
      this.oldWeightsPenaltyMs(context, version);
    const [isCached, isBeingPrefilled] = [availability === 'cached', availability === 'being prefilled'];
    return {
      tracked,
      costMs,
      prefillTokens,
      version,
      salt,
      isCached,
      isBeingPrefilled,
      isPreferred: rank === 0,
      pullMs,
    };
  };

  private readonly availability = (
    { affinity: { trackedPart }, lookup, replicas }: PlacementContext,
    tracked: TrackedReplica,
    salt: string | null,
  ): PrefixAvailability => {
    if (trackedPart === null || salt === null) return 'missing';
    if (lookup.isCachedOn(tracked, salt)) return 'cached';
    if (this.prefixCaches.isPrefilling(tracked.endpoint.address, salt, trackedPart.id)) return 'being prefilled';
    const isHolder = (other: TrackedReplica): boolean =>
      other !== tracked && this.replicaTracker.health.mayPullFrom(other) && lookup.isCachedOn(other, salt);
    return replicas.some(isHolder) ? 'transferable' : 'missing';
  };

  /**
   * Milliseconds by which a preferred replica may exceed the cost of others and still be chosen. Larger where the prefix
   * has to be prefilled anyway, so that it ends up cached on its preferred replica.
   */
  private readonly bonusMs = ({ affinity }: PlacementContext, rank: number, isMissing: boolean): number => {
    if (rank === 1) return secondChoiceBonusMs;
    if (rank !== 0) return 0;
    return (
      affinityBonusMs +
      (isMissing ? this.replicaTracker.prefillRates.prefillMs(affinity.prefixTokens) * queuedPrefillShare : 0)
    );
  };

  private readonly errorPenaltyMs = (tracked: TrackedReplica): number => {
    const errorRate = this.replicaTracker.health.errorRate(tracked);
    return errorRate < negligibleErrorRate ? 0 : errorRate * errorRateCostMs;
  };

  private readonly oldWeightsPenaltyMs = ({ target }: PlacementContext, version: number | null): number =>
    target !== null && version !== null && version < target.version ? oldWeightsCostMs : 0;
}
