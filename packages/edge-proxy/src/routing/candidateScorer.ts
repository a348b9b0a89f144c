/** Estimates what a request costs on each replica that may run it. */
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
 * How a candidate can get at the tracked prefix: from its own cache, from a prefill that runs there, from another
 * replica, or not.
 */
type PrefixAvailability = 'cached' | 'being prefilled' | 'transferable' | 'missing';

/** Scores the candidates of one placement by estimated milliseconds; the lowest cost wins. */
export class CandidateScorer {
  constructor(
    private readonly replicaTracker: ReplicaTracker,
    private readonly prefixCaches: PrefixCacheIndex,
    private readonly weights: WeightsEligibility,
  ) {}

  /** The cheapest candidate; among equals the first from `offset` on. Null where there is none. */
  readonly cheapest = (
    round: PlacementContext,
    candidates: readonly TrackedReplica[],
    offset: number,
  ): ScoredCandidate | null => {
    let cheapest: ScoredCandidate | null = null;
    for (let step = 0; step < candidates.length; step += 1) {
      const candidate = this.score(round, candidates[(step + offset) % candidates.length] as TrackedReplica);
      if (cheapest === null || candidate.costMs < cheapest.costMs) cheapest = candidate;
    }
    return cheapest;
  };

  private readonly score = (round: PlacementContext, tracked: TrackedReplica): ScoredCandidate => {
    const { query, affinity, preferred } = round;
    const { version, salt } = this.weights.servedBy(tracked, query);
    const rank = preferred.indexOf(tracked);
    const availability = this.availability(round, tracked, salt);
    const isMissing = availability === 'missing';
    const prefillTokens = Math.max(0, query.metadata.tokensIn - (isMissing ? 0 : affinity.prefixTokens));
    const pullMs = availability === 'transferable' ? round.pullMs(affinity.prefixTokens) : 0;
    const transferMs =
      availability === 'transferable'
        ? this.replicaTracker.prefillRates.prefillMs(affinity.prefixTokens) * queuedPrefillShare + pullMs
        : 0;
    const costMs =
      this.replicaTracker.prefillRates.prefillMs(tracked.pendingTokens + tracked.otherEdgesTokens + prefillTokens) +
      tracked.running * runningRequestCostMs +
      transferMs +
      (round.isPrefillRunning && isMissing ? duplicatePrefillCostMs : 0) -
      this.bonusMs(round, rank, isMissing) +
      (this.replicaTracker.health.isSuspect(tracked) ? suspectCostMs : 0) +
      this.errorPenaltyMs(tracked) +
      this.oldWeightsPenaltyMs(round, version);
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
   * What a preferred replica may cost more before another one is taken; more where the prefix has to be prefilled
   * anyway, so that it is cached at its preferred replica.
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
