/**
 * Finds entries of the prefix index that don't hold any more, by answers that come as late as if the prefix had been
 * prefilled.
 */
import type { Clock, CacheMissReport } from '@martenworks/core-types';

const missingShare = 0.6;
const foundShare = 0.4;
const slackMs = 40;
const leastReadMs = 100;
const troubleFactor = 2.5;
const troubleSlackMs = 300;
const strikeWindowMs = 10_000;
const strikesHeard = 2;
const strikesUnheard = 1;
const forgetMs = 60_000;
const firstQuarantineMs = 15_000;
const longestQuarantineMs = 120_000;
const mostLabels = 2_000;
const doubtMs = 30_000;
const doubtedLabels = 2;

/**
 * What the index said as a prompt was placed: `address` keeps these parts. `pullMs` is the time to hand them over, null
 * where the replica itself keeps them.
 */
export interface ExpectedHit {
  readonly address: string;
  readonly salt: string;
  readonly parts: readonly string[];
  readonly tokens: number;
  readonly pullMs: number | null;
}

/**
 * What an answer's first piece is measured against; `aheadTokens` were pending at the replica as the prompt was sent or
 * came there with it.
 */
export interface ResponseTiming {
  readonly expectedHit: ExpectedHit;
  readonly uncachedTokens: number;
  readonly aheadTokens: number;
  readonly tokensPerMs: number | null;
  readonly isFollowed: boolean;
  readonly sentAt: number;
}

/** What one answer's timing says of the promised parts; `unclear` where noise could explain either. */
export type Verdict = 'missing' | 'found' | 'unclear';

/**
 * What follows from an answer: nothing, a strike to be reported, or the eviction of the entry, with a quarantine in
 * milliseconds where it was evicted before.
 */
export type Decision =
  | { readonly kind: 'none' }
  | { readonly kind: 'strike' }
  | { readonly kind: 'drop'; readonly quarantineMs: number | null };

interface Suspicion {
  strikes: number;
  notedAt: number;
  drops: number;
}

const labelOf = ({ address, salt, parts }: Pick<ExpectedHit, 'address' | 'salt' | 'parts'>): string =>
  `${address}\n${salt}\n${parts.at(-1) ?? ''}`;

/** Tells from the time to the first piece whether the parts that the index promised had to be read after all. */
export const responseTimings = {
  classify: ({ expectedHit, uncachedTokens, aheadTokens, tokensPerMs }: ResponseTiming, spentMs: number): Verdict => {
    if (tokensPerMs === null) return 'unclear';
    const partsMs = expectedHit.tokens / tokensPerMs;
    const restMs = uncachedTokens / tokensPerMs;
    const aheadMs = aheadTokens / tokensPerMs;
    const pullMs = expectedHit.pullMs ?? 0;
    if (partsMs < leastReadMs || pullMs * 2 > partsMs * foundShare) return 'unclear';
    if (spentMs < restMs + partsMs * foundShare) return 'found';
    if (spentMs > (restMs + aheadMs + partsMs) * troubleFactor + troubleSlackMs) return 'unclear';
    return spentMs >= restMs + aheadMs + pullMs + partsMs * missingShare + slackMs ? 'missing' : 'unclear';
  },
};

/**
 * Counts strikes against entries of the index. Queueing explains a single late answer, so an entry is evicted at the
 * second strike within ten seconds, each by a request sent after the one before was answered; an answer in time clears
 * them. Where nobody follows the address's events, one strike is enough. An entry that is evicted again within a minute
 * is quarantined, longer each time, where the replica was to use it itself (a source of transfers may be filled anew).
 * Once two entries of an address were evicted within half a minute, one strike evicts and quarantines the next.
 */
export class StaleEntryDetector {
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly fallen = new Map<string, Map<string, number>>();
  private readonly counts = { strikes: 0, found: 0, drops: 0, bars: 0 };

  constructor(private readonly clock: Clock) {}

  /** Takes one answer's time to its first piece, in milliseconds, and decides about the entry that it relied on. */
  readonly recordTiming = (timing: ResponseTiming, spentMs: number): Decision => {
    const verdict = responseTimings.classify(timing, spentMs);
    if (verdict === 'unclear') return { kind: 'none' };
    const now = this.clock.now();
    const label = labelOf(timing.expectedHit);
    if (verdict === 'found') {
      this.counts.found += 1;
      const known = this.suspicions.get(label);
      if (known !== undefined) known.strikes = 0;
      return { kind: 'none' };
    }
    const suspicion = this.suspicion(label, now);
    if (timing.sentAt < suspicion.notedAt) return { kind: 'none' };
    suspicion.strikes = (now - suspicion.notedAt <= strikeWindowMs ? suspicion.strikes : 0) + 1;
    suspicion.notedAt = now;
    this.counts.strikes += 1;
    const isDoubted = this.isDoubted(timing.expectedHit.address, label);
    if (suspicion.strikes < (timing.isFollowed && !isDoubted ? strikesHeard : strikesUnheard))
      return { kind: 'strike' };
    this.fell(timing.expectedHit.address, label);
    suspicion.drops += isDoubted && suspicion.drops === 0 ? 2 : 1;
    suspicion.strikes = strikesHeard - 1;
    this.counts.drops += 1;
    if (suspicion.drops === 1 || timing.expectedHit.pullMs !== null) return { kind: 'drop', quarantineMs: null };
    this.counts.bars += 1;
    return {
      kind: 'drop',
      quarantineMs: Math.min(longestQuarantineMs, firstQuarantineMs * 2 ** (suspicion.drops - 2)),
    };
  };

  /**
   * What another edge saw: its strike makes one's own the second, which alone decides; what it decided is done already.
   */
  readonly recordReport = (update: CacheMissReport): void => {
    const now = this.clock.now();
    const suspicion = this.suspicion(labelOf(update), now);
    suspicion.strikes = strikesHeard - 1;
    suspicion.notedAt = now;
    if (!update.isDecided) return;
    suspicion.drops += 1;
    this.fell(update.address, labelOf(update));
  };

  /** Two other entries of the address were evicted a short while ago: the address as a whole loses entries. */
  private readonly isDoubted = (address: string, label: string): boolean => {
    const now = this.clock.now();
    return (
      [...(this.fallen.get(address) ?? [])].filter(([other, at]) => other !== label && now - at <= doubtMs).length >=
      doubtedLabels
    );
  };

  private readonly fell = (address: string, label: string): void => {
    const now = this.clock.now();
    const known = this.fallen.get(address) ?? new Map<string, number>();
    this.fallen.set(address, known.set(label, now));
    for (const [other, at] of known) if (now - at > doubtMs) known.delete(other);
  };

  /** Another replica has the address. */
  readonly onIncarnationChange = (address: string): void => {
    this.fallen.delete(address);
    for (const label of this.suspicions.keys()) if (label.startsWith(`${address}\n`)) this.suspicions.delete(label);
  };

  private readonly suspicion = (label: string, now: number): Suspicion => {
    const known = this.suspicions.get(label);
    if (known !== undefined && now - known.notedAt <= forgetMs) return known;
    this.forget(now);
    const fresh: Suspicion = { strikes: 0, notedAt: -Infinity, drops: 0 };
    this.suspicions.set(label, fresh);
    return fresh;
  };

  private readonly forget = (now: number): void => {
    if (this.suspicions.size <= mostLabels) return;
    for (const [label, { notedAt }] of this.suspicions)
      if (now - notedAt > forgetMs || this.suspicions.size > mostLabels) this.suspicions.delete(label);
  };

  /** Counts since the start, and the entries with a strike, for the operators' pages. */
  readonly status = (): Record<string, number> => ({
    ...this.counts,
    suspected: [...this.suspicions.values()].filter(({ strikes }) => strikes > 0).length,
  });
}
