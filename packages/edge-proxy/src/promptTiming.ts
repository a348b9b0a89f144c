import type { ReadingNews } from '@martenworks/core-types';
import type { Admission, EdgeContext } from './edgeContext.js';
import { heavyTokens } from './replicaTracks.js';
import type { KeptClaim } from './staleWatch.js';
import type { WayPlace } from './wayPlacing.js';

export const placementNames = {
  /** The counter that a placement adds to: how long its prompt is, where the replica gets it from, whether it is at home. */
  of: ({ anchor, isKept, isSoon, isHome, holder }: WayPlace): string => {
    if (anchor === null || anchor.tokens < heavyTokens) return isHome ? 'placed_short_home' : 'placed_short_elsewhere';
    const source = isKept ? 'kept' : isSoon ? 'soon' : holder !== null ? 'pull' : 'read';
    return `placed_long_${source}${isHome ? '_home' : ''}`;
  },
};

/** How long one attempt's prompt takes to be read, and what that tells of the replica and of the index of kept prompts. Made as the attempt begins. */
export class PromptTiming {
  private readonly sentAt: number;
  private readonly pendingBefore: number;
  private readonly isIdle: boolean;
  private readonly isAlone: boolean;
  private reading: ReadingNews | null = null;
  private isReading = true;

  constructor(
    private readonly context: EdgeContext,
    private readonly admission: Admission,
    private readonly placed: WayPlace,
    isResumption: boolean,
  ) {
    const { track, isSoon } = placed;
    this.sentAt = context.ports.clock.now();
    this.pendingBefore = track.pendingTokens + track.othersTokens;
    this.isIdle = track.running < track.card.slots && !isResumption && !context.tracks.isSuspect(track);
    this.isAlone = this.pendingBefore === 0 && !isSoon;
  }

  readonly spentMs = (): number => this.context.ports.clock.now() - this.sentAt;

  /** Tells the other edges of a long prompt that is about to be read. */
  readonly promptSent = (): void => {
    const { track, readTokens, salt, anchor } = this.placed;
    if (readTokens < heavyTokens) return;
    const { card } = track;
    const id = this.context.readingId();
    this.reading = { id, replica: card.id, tokens: readTokens, salt, part: anchor?.id ?? null };
    this.context.touch.tellReading(this.reading);
    if (salt !== null && anchor !== null) this.context.shelves.reads(card.address, salt, anchor.id);
  };

  /** Notes, once, that the prompt is read or the attempt over. */
  readonly promptRead = (): void => {
    if (!this.isReading) return;
    this.isReading = false;
    this.context.tracks.given(this.placed.track, this.placed.readTokens);
    if (this.reading !== null) this.context.touch.tellReading({ ...this.reading, tokens: 0 });
  };

  /** Takes from the time to a first piece how fast the replica reads, and whether it kept what the index says. */
  readonly learn = (spentMs: number): void => {
    const { tracks, shelves } = this.context;
    const { track, anchor, salt, readTokens, pullMs, readsAll, claim } = this.placed;
    if (anchor === null || salt === null) return;
    shelves.saw(track.card.address, salt, anchor.id);
    const isLate = this.isIdle && this.speaksAgainstIndex(spentMs);
    if (this.isAlone && !isLate) tracks.measured(readTokens, spentMs - pullMs);
    const hasReadAlone = this.aheadTokens() === 0 && (readsAll || claim?.pullMs === null);
    if (!this.isIdle || isLate || !hasReadAlone) return;
    tracks.sampled(track, this.admission.order.tokensIn - (claim?.tokens ?? 0), spentMs);
  };

  private readonly aheadTokens = (): number => {
    const { track, readTokens } = this.placed;
    return Math.max(0, this.pendingBefore + this.context.tracks.cameWith(track, this.sentAt) - readTokens);
  };

  private readonly speaksAgainstIndex = (spentMs: number): boolean => {
    const { claim, secondClaim } = this.placed;
    const [isFirstLate, isSecondLate] = [this.isClaimLate(claim, spentMs), this.isClaimLate(secondClaim, spentMs)];
    return isFirstLate || isSecondLate;
  };

  private readonly isClaimLate = (claim: KeptClaim | null, spentMs: number): boolean => {
    if (claim === null) return false;
    const { tracks, shelves, compare } = this.context;
    const timing = {
      claim,
      restTokens: Math.max(0, this.admission.order.tokensIn - claim.tokens),
      aheadTokens: this.aheadTokens(),
      tokensPerMs: tracks.readingRate(this.placed.track),
      isHeard: shelves.isHeard(claim.address),
      sentAt: this.sentAt,
    };
    return compare(timing, spentMs);
  };
}
