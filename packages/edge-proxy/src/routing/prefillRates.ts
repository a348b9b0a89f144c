/** Estimates of how fast replicas prefill, from the times to first pieces. */
import type { TrackedReplica } from './trackedReplica.js';

const firstChunkSmoothing = 0.05;
const increaseSmoothing = 0.3;
const decreaseSmoothing = 0.01;
const initialTokensPerMs = 40;
const minTokensPerMs = 10;
const maxTokensPerMs = 1_000;
/**
 * Tokens from which on a prefill is long: it is announced to the other edges, and its time is a sample of the prefill
 * rate.
 */
export const longPrefillTokens = 1_000;
const maxReplicaSamples = 9;
const maxPoolSamples = 31;
const minSamples = 3;
const rateQuantile = 0.75;

/**
 * Prefill rates in tokens per millisecond: one over all replicas for placement, and one of each replica for its late
 * answers.
 */
export class PrefillRates {
  private readonly poolSamples = new Map<string, number[]>();
  private tokensPerMs = initialTokensPerMs;

  /**
   * The reading rate follows quick answers at once and slow ones hardly: what an edge does not see can only make an
   * answer slower, and in a crowded pool every answer is slow.
   */
  readonly updateAverage = (tokens: number, elapsedMs: number): void => {
    if (tokens < longPrefillTokens || elapsedMs <= 0) return;
    const observed = Math.min(maxTokensPerMs, Math.max(minTokensPerMs, tokens / elapsedMs));
    this.tokensPerMs +=
      (observed - this.tokensPerMs) * (observed > this.tokensPerMs ? increaseSmoothing : decreaseSmoothing);
  };

  private readonly firstChunkMsByPool = new Map<string, number>();

  /**
   * Milliseconds until first events in this pool lately, long prompts and waits included: where all are slow, none is
   * to be left for its slowness.
   */
  readonly recordFirstChunk = (pool: string, elapsedMs: number): void => {
    const known = this.firstChunkMsByPool.get(pool) ?? 0;
    this.firstChunkMsByPool.set(pool, known + (elapsedMs - known) * firstChunkSmoothing);
  };

  /** The moving average of `firstSeen`, in milliseconds; 0 before the first sample. */
  readonly typicalFirstChunkMs = (pool: string): number => this.firstChunkMsByPool.get(pool) ?? 0;

  /**
   * Like `measured`, but of a prompt that met an idle replica and was read whole: what late answers are known against.
   */
  readonly addSample = (tracked: TrackedReplica, tokens: number, elapsedMs: number): void => {
    if (tokens < longPrefillTokens || elapsedMs <= 0) return;
    const { pool } = tracked.endpoint;
    const known = this.poolSamples.get(pool) ?? [];
    this.poolSamples.set(pool, known);
    for (const [samples, max] of [
      [tracked.prefillRates, maxReplicaSamples],
      [known, maxPoolSamples],
    ] as const) {
      samples.push(tokens / elapsedMs);
      if (samples.length > max) samples.shift();
    }
  };

  /**
   * Tokens that the replica reads in a millisecond: by the quicker of its own samples, else of its pool's, since what
   * this edge doesn't see (a wait, a part that was not kept) only slows them, and too slow a rate speaks against
   * nobody; null while too few are there.
   */
  readonly replicaRate = (tracked: TrackedReplica): number | null => {
    const samples =
      tracked.prefillRates.length >= minSamples
        ? tracked.prefillRates
        : (this.poolSamples.get(tracked.endpoint.pool) ?? []);
    return samples.length < minSamples
      ? null
      : ([...samples].sort((a, b) => a - b)[Math.floor(samples.length * rateQuantile)] as number);
  };

  /** Estimated milliseconds for a replica to prefill so many tokens. */
  readonly prefillMs = (tokens: number): number => tokens / this.tokensPerMs;
}
