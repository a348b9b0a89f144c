/**
 * What the time to an attempt's first piece tells: the prefill rate of the replica, and whether the prefix was cached
 * as the index says.
 */
import type { PrefillNotice } from '@martenworks/core-types';
import type { Admission, EdgeContext } from '../edgeContext.js';
import { heavyTokens } from '../routing/readRates.js';
import type { ExpectedHit } from './staleEntryDetector.js';
import type { Placement } from '../routing/placement.js';

/** Names of the metrics that count placements by prompt length and source of the prefix. */
export const placementNames = {
  /**
   * The counter that a placement adds to: how long its prompt is, where the replica gets its prefix from, and whether
   * rendezvous hashing ranks the replica first.
   */
  of: ({ affinityPart, isCached, isBeingPrefilled, isPreferred, holder }: Placement): string => {
    if (affinityPart === null || affinityPart.tokens < heavyTokens)
      return isPreferred ? 'placed_short_home' : 'placed_short_elsewhere';
    const source = isCached ? 'kept' : isBeingPrefilled ? 'soon' : holder !== null ? 'pull' : 'read';
    return `placed_long_${source}${isPreferred ? '_home' : ''}`;
  },
};

/**
 * Measures how long one attempt's prompt takes to prefill, and what that says of the replica and of the prefix index.
 * Created as the attempt begins.
 */
export class PromptTiming {
  private readonly sentAt: number;
  private readonly pendingBefore: number;
  private readonly isIdle: boolean;
  private readonly isAlone: boolean;
  private reading: PrefillNotice | null = null;
  private isReading = true;

  constructor(
    private readonly context: EdgeContext,
    private readonly admission: Admission,
    private readonly placed: Placement,
    isResumption: boolean,
  ) {
    const { tracked, isBeingPrefilled } = placed;
    this.sentAt = context.ports.clock.now();
    this.pendingBefore = tracked.pendingTokens + tracked.othersTokens;
    this.isIdle =
      tracked.running < tracked.endpoint.slots && !isResumption && !context.replicaTracker.health.isSuspect(tracked);
    this.isAlone = this.pendingBefore === 0 && !isBeingPrefilled;
  }

  /** Milliseconds since the attempt began. */
  readonly spentMs = (): number => this.context.ports.clock.now() - this.sentAt;

  /** Announces a long prompt that is about to be prefilled to the other edges. */
  readonly promptSent = (): void => {
    const { tracked, readTokens, salt, affinityPart } = this.placed;
    if (readTokens < heavyTokens) return;
    const { endpoint } = tracked;
    const id = this.context.readingId();
    this.reading = { id, replica: endpoint.id, tokens: readTokens, salt, part: affinityPart?.id ?? null };
    this.context.control.reportPrefill(this.reading);
    if (salt !== null && affinityPart !== null)
      this.context.prefixCaches.reads(endpoint.address, salt, affinityPart.id);
  };

  /** Records, once, that the prompt is prefilled or the attempt over. */
  readonly promptRead = (): void => {
    if (!this.isReading) return;
    this.isReading = false;
    this.context.replicaTracker.given(this.placed.tracked, this.placed.readTokens);
    if (this.reading !== null) this.context.control.reportPrefill({ ...this.reading, tokens: 0 });
  };

  /**
   * Learns from the time to a first piece how fast the replica prefills, and whether it had cached what the index says.
   */
  readonly learn = (spentMs: number): void => {
    const { replicaTracker, prefixCaches } = this.context;
    const { tracked, affinityPart, salt, readTokens, pullMs, readsAll, expectedHit } = this.placed;
    if (affinityPart === null || salt === null) return;
    prefixCaches.saw(tracked.endpoint.address, salt, affinityPart.id);
    const isLate = this.isIdle && this.speaksAgainstIndex(spentMs);
    if (this.isAlone && !isLate) replicaTracker.readRates.measured(readTokens, spentMs - pullMs);
    const hasReadAlone = this.aheadTokens() === 0 && (readsAll || expectedHit?.pullMs === null);
    if (!this.isIdle || isLate || !hasReadAlone) return;
    replicaTracker.readRates.sampled(tracked, this.admission.order.tokensIn - (expectedHit?.tokens ?? 0), spentMs);
  };

  private readonly aheadTokens = (): number => {
    const { tracked, readTokens } = this.placed;
    return Math.max(0, this.pendingBefore + this.context.replicaTracker.cameWith(tracked, this.sentAt) - readTokens);
  };

  private readonly speaksAgainstIndex = (spentMs: number): boolean => {
    const { expectedHit, secondExpectedHit } = this.placed;
    const [isFirstLate, isSecondLate] = [
      this.isHitLate(expectedHit, spentMs),
      this.isHitLate(secondExpectedHit, spentMs),
    ];
    return isFirstLate || isSecondLate;
  };

  private readonly isHitLate = (expectedHit: ExpectedHit | null, spentMs: number): boolean => {
    if (expectedHit === null) return false;
    const { replicaTracker, prefixCaches, compare } = this.context;
    const timing = {
      expectedHit,
      restTokens: Math.max(0, this.admission.order.tokensIn - expectedHit.tokens),
      aheadTokens: this.aheadTokens(),
      tokensPerMs: replicaTracker.readRates.readingRate(this.placed.tracked),
      isHeard: prefixCaches.isHeard(expectedHit.address),
      sentAt: this.sentAt,
    };
    return compare(timing, spentMs);
  };
}
