/**
 * Evaluates the time to an attempt's first chunk: it shows the replica's prefill rate, and whether the prefix was cached
 * as the index states.
 */
import type { PrefillNotice } from '@martenworks/core-types';
import type { Admission, EdgeContext } from '../edgeContext.js';
import { longPrefillTokens } from '../routing/prefillRates.js';
import type { ExpectedHit } from './staleEntryDetector.js';
import type { Placement } from '../routing/placement.js';

/** Names of the metrics that count placements. */
export const placementMetrics = {
  /**
   * The counter of a placement, by the length of its prompt, the source of its prefix, and whether rendezvous hashing
   * ranks the replica first.
   */
  of: ({ affinityPart, isCached, isBeingPrefilled, isPreferred, holder }: Placement): string => {
    if (affinityPart === null || affinityPart.tokens < longPrefillTokens)
      return isPreferred ? 'placed_short_home' : 'placed_short_elsewhere';
    const source = isCached ? 'kept' : isBeingPrefilled ? 'soon' : holder !== null ? 'pull' : 'read';
    return `placed_long_${source}${isPreferred ? '_home' : ''}`;
  },
};

/**
 * Measures how long one attempt's prompt takes to prefill, and evaluates that for the replica and the prefix index.
 * Created when the attempt starts.
 */
export class PromptTiming {
  private readonly sentAt: number;
  private readonly pendingBefore: number;
  private readonly wasIdle: boolean;
  private readonly wasAlone: boolean;
  private notice: PrefillNotice | null = null;
  private isPrefillPending = true;

  constructor(
    private readonly context: EdgeContext,
    private readonly admission: Admission,
    private readonly placed: Placement,
    isResumption: boolean,
  ) {
    const { tracked, isBeingPrefilled } = placed;
    this.sentAt = context.ports.clock.now();
    this.pendingBefore = tracked.pendingTokens + tracked.otherEdgesTokens;
    this.wasIdle =
      tracked.running < tracked.endpoint.slots && !isResumption && !context.replicaTracker.health.isSuspect(tracked);
    this.wasAlone = this.pendingBefore === 0 && !isBeingPrefilled;
  }

  /** Milliseconds since the attempt started. */
  readonly elapsedMs = (): number => this.context.ports.clock.now() - this.sentAt;

  /** Announces the prefill of a long prompt to the other edges. */
  readonly announcePrefill = (): void => {
    const { tracked, prefillTokens, salt, affinityPart } = this.placed;
    if (prefillTokens < longPrefillTokens) return;
    const { endpoint } = tracked;
    const id = this.context.nextPrefillId();
    this.notice = { id, replica: endpoint.id, tokens: prefillTokens, salt, part: affinityPart?.id ?? null };
    this.context.control.reportPrefill(this.notice);
    if (salt !== null && affinityPart !== null)
      this.context.prefixCaches.recordPrefill(endpoint.address, salt, affinityPart.id);
  };

  /** Records the end of the prefill or of the attempt, whichever comes first; later calls do nothing. */
  readonly endPrefill = (): void => {
    if (!this.isPrefillPending) return;
    this.isPrefillPending = false;
    this.context.replicaTracker.recordPrefilled(this.placed.tracked, this.placed.prefillTokens);
    if (this.notice !== null) this.context.control.reportPrefill({ ...this.notice, tokens: 0 });
  };

  /**
   * Evaluates the time to the first chunk: how fast the replica prefills, and whether it had cached what the index states.
   */
  readonly recordFirstChunk = (elapsedMs: number): void => {
    const { replicaTracker, prefixCaches } = this.context;
    const { tracked, affinityPart, salt, prefillTokens, pullMs, isFullPrefill, expectedHit } = this.placed;
    if (affinityPart === null || salt === null) return;
    prefixCaches.recordObserved(tracked.endpoint.address, salt, affinityPart.id);
    const isLate = this.wasIdle && this.contradictsIndex(elapsedMs);
    if (this.wasAlone && !isLate) replicaTracker.prefillRates.updateAverage(prefillTokens, elapsedMs - pullMs);
    const isCleanSample = this.aheadTokens() === 0 && (isFullPrefill || expectedHit?.pullMs === null);
    if (!this.wasIdle || isLate || !isCleanSample) return;
    replicaTracker.prefillRates.addSample(
      tracked,
      this.admission.metadata.tokensIn - (expectedHit?.tokens ?? 0),
      elapsedMs,
    );
  };

  private readonly aheadTokens = (): number => {
    const { tracked, prefillTokens } = this.placed;
    return Math.max(
      0,
      this.pendingBefore + this.context.replicaTracker.tokensArrivedAfter(tracked, this.sentAt) - prefillTokens,
    );
  };

  private readonly contradictsIndex = (elapsedMs: number): boolean => {
    const { expectedHit, secondExpectedHit } = this.placed;
    const [isFirstLate, isSecondLate] = [
      this.isHitLate(expectedHit, elapsedMs),
      this.isHitLate(secondExpectedHit, elapsedMs),
    ];
    return isFirstLate || isSecondLate;
  };

  private readonly isHitLate = (expectedHit: ExpectedHit | null, elapsedMs: number): boolean => {
    if (expectedHit === null) return false;
    const { replicaTracker, prefixCaches, checkExpectedHit } = this.context;
    const timing = {
      expectedHit,
      uncachedTokens: Math.max(0, this.admission.metadata.tokensIn - expectedHit.tokens),
      aheadTokens: this.aheadTokens(),
      tokensPerMs: replicaTracker.prefillRates.replicaRate(this.placed.tracked),
      isFollowed: prefixCaches.isFollowed(expectedHit.address),
      sentAt: this.sentAt,
    };
    return checkExpectedHit(timing, elapsedMs);
  };
}
