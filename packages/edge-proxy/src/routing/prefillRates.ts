/** Estimates of how fast replicas prefill, from the times to first pieces. */
import type { TrackedReplica } from './trackedReplica.js';

const typicalBlend = 0.05;
const quickerBlend = 0.3;
const slowerBlend = 0.01;
const startTokensPerMs = 40;
const slowestTokensPerMs = 10;
const fastestTokensPerMs = 1_000;
/**
 * Tokens from which on a prefill is long: it is announced to the other edges, and its time is a sample of the prefill
 * rate.
 */
export const longPrefillTokens = 1_000;
const mostSamples = 9;
const mostPoolSamples = 31;
const leastSamples = 3;
const quickShare = 0.75;

/**
 * Prefill rates in tokens per millisecond: one over all replicas for placement, and one of each replica for its late
 * answers.
 */
export class PrefillRates {
  private readonly poolSamples = new Map<string, number[]>();
  private tokensPerMs = startTokensPerMs;

  /**
   * The reading rate follows quick answers at once and slow ones hardly: what an edge does not see can only make an
   * answer slower, and in a crowded pool every answer is slow.
   */
  readonly updateAverage = (tokens: number, spentMs: number): void => {
    if (tokens < longPrefillTokens || spentMs <= 0) return;
    const seen = Math.min(fastestTokensPerMs, Math.max(slowestTokensPerMs, tokens / spentMs));
    this.tokensPerMs += (seen - this.tokensPerMs) * (seen > this.tokensPerMs ? quickerBlend : slowerBlend);
  };

  private readonly firsts = new Map<string, number>();

  /**
   * Milliseconds until first events in this pool lately, long prompts and waits included: where all are slow, none is
   * to be left for its slowness.
   */
  readonly recordFirstChunk = (pool: string, spentMs: number): void => {
    const known = this.firsts.get(pool) ?? 0;
    this.firsts.set(pool, known + (spentMs - known) * typicalBlend);
  };

  /** The moving average of `firstSeen`, in milliseconds; 0 before the first sample. */
  readonly typicalFirstChunkMs = (pool: string): number => this.firsts.get(pool) ?? 0;

  /**
   * Like `measured`, but of a prompt that met an idle replica and was read whole: what late answers are known against.
   */
  readonly addSample = (tracked: TrackedReplica, tokens: number, spentMs: number): void => {
    if (tokens < longPrefillTokens || spentMs <= 0) return;
    const { pool } = tracked.endpoint;
    const known = this.poolSamples.get(pool) ?? [];
    this.poolSamples.set(pool, known);
    for (const [samples, most] of [
      [tracked.prefillRates, mostSamples],
      [known, mostPoolSamples],
    ] as const) {
      samples.push(tokens / spentMs);
      if (samples.length > most) samples.shift();
    }
  };

  /**
   * Tokens that the replica reads in a millisecond: by the quicker of its own samples, else of its pool's, since what
   * this edge doesn't see (a wait, a part that was not kept) only slows them, and too slow a rate speaks against
   * nobody; null while too few are there.
   */
  readonly replicaRate = (tracked: TrackedReplica): number | null => {
    const samples =
      tracked.prefillRates.length >= leastSamples
        ? tracked.prefillRates
        : (this.poolSamples.get(tracked.endpoint.pool) ?? []);
    return samples.length < leastSamples
      ? null
      : ([...samples].sort((a, b) => a - b)[Math.floor(samples.length * quickShare)] as number);
  };

  /** Estimated milliseconds for a replica to prefill so many tokens. */
  readonly prefillMs = (tokens: number): number => tokens / this.tokensPerMs;
}
