/** Which part of a prompt decides where the prompt is cached. */
import type { PromptPart } from '@martenworks/core-types';

/** Minimum length, in tokens, of a prompt part that the prefix index tracks. */
export const minTrackedTokens = 256;
const maxUnsharedShare = 0.35;

/** The affinity part of a prompt and the prefix that ends with it. */
export interface PromptAffinity {
  readonly part: PromptPart | null;
  readonly index: number;
  /** The affinity part if it is long enough for the prefix index to track, else null. */
  readonly trackedPart: PromptPart | null;
  /** Tokens from the start of the prompt to the end of the tracked part; 0 where there is none. */
  readonly prefixTokens: number;
}

const sum = (parts: readonly PromptPart[]): number => parts.reduce((total, part) => total + part.tokens, 0);

/** Finds the affinity part of a prompt and decides whether the prompt is worth uploading to a cache store. */
export const promptAffinity = {
  totalTokens: sum,

  /**
   * The last shareable part that is long enough to be worth caching, else the last shareable part. The last part of a
   * prompt of several parts is not shareable: it is specific to the request or its session.
   */
  of: (parts: readonly PromptPart[]): PromptAffinity => {
    const shareable = parts.length > 1 ? parts.slice(0, -1) : parts;
    const lastLong = shareable.findLastIndex((part) => part.tokens >= minTrackedTokens);
    const index = lastLong >= 0 ? lastLong : shareable.length - 1;
    const part = shareable[index] ?? null;
    const trackedPart = part !== null && part.tokens >= minTrackedTokens ? part : null;
    return { part, index, trackedPart, prefixTokens: trackedPart === null ? 0 : sum(parts.slice(0, index + 1)) };
  },

  /**
   * Whether the prompt should be uploaded to a cache store. A store receives every part, and a long remainder after the
   * affinity part would fill it with tokens that no other prompt shares.
   */
  isWorthStoring: (parts: readonly PromptPart[], { index }: PromptAffinity): boolean =>
    sum(parts.slice(index + 1)) <= sum(parts.slice(0, index + 1)) * maxUnsharedShare,
};
