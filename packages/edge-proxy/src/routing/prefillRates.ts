/** Estimates how fast replicas prefill, from the times to the first response chunk. */
import type { TrackedReplica } from './trackedReplica.js';

const firstChunkSmoothing = 0.05;
const increaseSmoothing = 0.3;
const decreaseSmoothing = 0.01;
const initialTokensPerMs = 40;
const minTokensPerMs = 10;
const maxTokensPerMs = 1_000;
/**
 * Minimum length of a long prefill, in tokens: it is announced to the other edges, and its duration is a sample of the
 * prefill rate.
 */
export const longPrefillTokens = 1_000;
const maxReplicaSamples = 9;
const maxPoolSamples = 31;
const minSamples = 3;
const rateQuantile = 0.75;

/**
 * Prefill rates in tokens per millisecond: one average over all replicas, used for placement, and one rate per replica,
 * used to recognise late responses.
 */
export class PrefillRates {
  private readonly poolSamples = new Map<string, number[]>();
  private tokensPerMs = initialTokensPerMs;

  /**
   * Updates the average rate from one prefill. It follows fast responses quickly and slow ones hardly at all: load that
   * the edge does not see can only slow a response down, and in a busy pool every response is slow.
   */
  readonly updateAverage = (tokens: number, elapsedMs: number): void => {
    if (tokens < longPrefillTokens || elapsedMs <= 0) return;
    const observed = Math.min(maxTokensPerMs, Math.max(minTokensPerMs, tokens / elapsedMs));
    this.tokensPerMs +=
      (observed - this.tokensPerMs) * (observed > this.tokensPerMs ? increaseSmoothing : decreaseSmoothing);
  };

  private readonly firstChunkMsByPool = new Map<string, number>();

  /**
   * Records the time to the first chunk of an attempt in this pool, long prompts and queueing included. Where the whole
   * pool is slow, no replica should be abandoned for being slow.
   */
  readonly recordFirstChunk = (pool: string, elapsedMs: number): void => {
    const known = this.firstChunkMsByPool.get(pool) ?? 0;
    this.firstChunkMsByPool.set(pool, known + (elapsedMs - known) * firstChunkSmoothing);
  };

  /** Moving average of the times to the first chunk, in milliseconds; 0 before the first sample. */
  readonly typicalFirstChunkMs = (pool: string): number => this.firstChunkMsByPool.get(pool) ?? 0;

  /**
   * Records a rate sample of one replica: the prefill of a whole prompt on an idle replica. Late responses are recognised
   * by comparison with these samples.
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
   * Tokens per millisecond that the replica prefills, from an upper quantile of its own samples, else of its pool's; null
   * while there are too few. Effects that this edge does not see (queueing, a part that was not cached) can only lower a
   * sample, and underestimating the rate makes no response look late.
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

  /** Estimated milliseconds for a replica to prefill `tokens` tokens. */
  readonly prefillMs = (tokens: number): number => tokens / this.tokensPerMs;
}
