/**
 * Chooses a replica for a prompt by the estimated time to first token in milliseconds, after the paper "A System for
 * Microserving of LLMs".
 */
import type { Pool, ReplicaRecord } from '@martenworks/core-types';
import { prompts, RendezvousHash } from '@martenworks/core-types';
import type { PrefixIndex } from './prefixIndex.js';

interface Candidate {
  readonly record: ReplicaRecord;
  readonly running: number;
  readonly pendingTokens: number;
}

/**
 * One prompt and the replicas that may run it. `holders` are the replicas from which its cached blocks may be pulled;
 * `tieBreak` is a random number in [0, 1); `pullExcessMs` is the time by which recent transfers between two replicas
 * exceeded the estimate.
 */
export interface PlacementQuery {
  readonly pool: Pool;
  readonly blocks: readonly string[];
  readonly promptTokens: number;
  readonly isolatedTenant: string | null;
  readonly candidates: readonly Candidate[];
  readonly holders: readonly ReplicaRecord[];
  readonly now: number;
  readonly zone: string;
  readonly useIndex: boolean;
  readonly tieBreak: number;
  readonly pullExcessMs: (holder: string, receiver: string) => number;
}

/**
 * A replica with the tokens that it has cached (`localTokens`), would pull from `holder` and would prefill, and the
 * estimated cost in milliseconds.
 */
export interface Placement {
  readonly record: ReplicaRecord;
  readonly holder: ReplicaRecord | null;
  readonly localTokens: number;
  readonly pulledTokens: number;
  readonly prefilledTokens: number;
  readonly costMs: number;
}

const runningRequestCostMs = 15;
const minPulledBlocks = 2;
/** Prompts with the same first blocks share a preferred replica; shorter prompts have none. */
const affinityBlocks = 8;
const affinityBonusShare = 0.5;
const longPrefillTokens = 1_000;
/**
 * Once no more than this share of the candidates is lightly loaded, long prefills on these cost more, so that short
 * prompts still find a replica without a queue.
 */
const reservedShare = 0.5;
const reservePenaltyFactor = 2;

interface HolderMatch {
  readonly record: ReplicaRecord;
  readonly blockCount: number;
}

const affinityHash = new RendezvousHash({ algorithm: 'sha256', separator: '' });

const preferredReplicaOf = (blocks: readonly string[], candidates: readonly Candidate[]): string | null => {
  const affinityBlock = blocks[affinityBlocks - 1];
  if (affinityBlock === undefined) return null;
  return affinityHash.highest(
    affinityBlock,
    candidates.map(({ record }) => record.name),
  );
};

interface Pull {
  readonly record: ReplicaRecord;
  readonly tokens: number;
  readonly costMs: number;
}

const bestPull = (
  { pool, pullExcessMs }: PlacementQuery,
  holders: readonly HolderMatch[],
  receiver: string,
  cachedBlocks: number,
): Pull | null => {
  let best: Pull | null = null;
  let bestGainMs = 0;
  for (const { record, blockCount } of holders) {
    if (record.name === receiver || blockCount - cachedBlocks < minPulledBlocks) continue;
    const tokens = (blockCount - cachedBlocks) * prompts.blockTokens;
    const costMs = tokens / pool.pullTokensPerMs + pullExcessMs(record.name, receiver);
    const gainMs = tokens / pool.prefillTokensPerMs - costMs;
    if (gainMs <= bestGainMs) continue;
    best = { record, tokens, costMs };
    bestGainMs = gainMs;
  }
  return best;
};

/**
 * Returns the placement on each candidate with its cost. The order is rotated by `tieBreak`, so that candidates of equal
 * cost take turns.
 */
export const estimatePlacements = (index: PrefixIndex, query: PlacementQuery): Placement[] => {
  const { pool, blocks, now, isolatedTenant } = query;
  const matchFor = (record: ReplicaRecord) => index.match(record.name, blocks, isolatedTenant, now);
  const holders: HolderMatch[] = [];
  if (query.useIndex && blocks.length > 0) {
    for (const record of query.holders) {
      const match = matchFor(record);
      if (match.canBeSource) holders.push({ record, blockCount: match.blockCount });
    }
  }
  const preferredReplica = query.useIndex && holders.length === 0 ? preferredReplicaOf(blocks, query.candidates) : null;
  const isLightlyLoaded = (candidate: Candidate): boolean => candidate.pendingTokens < longPrefillTokens;
  const lightlyLoadedCount = query.candidates.filter(isLightlyLoaded).length;
  const isReserveLow =
    query.candidates.length > 1 &&
    lightlyLoadedCount <= Math.max(1, Math.floor(query.candidates.length * reservedShare));
  const placements: Placement[] = [];
  const offset = query.candidates.length === 0 ? 0 : Math.floor(query.tieBreak * query.candidates.length);
  for (let step = 0; step < query.candidates.length; step += 1) {
    const candidate = query.candidates[(step + offset) % query.candidates.length] as Candidate;
    const cachedBlocks = query.useIndex ? matchFor(candidate.record).blockCount : 0;
    const pull = bestPull(query, holders, candidate.record.name, cachedBlocks);
    const holder = pull?.record ?? null;
    const pulledTokens = pull?.tokens ?? 0;
    const localTokens = cachedBlocks * prompts.blockTokens;
    const prefilledTokens = Math.max(0, query.promptTokens - localTokens - pulledTokens);
    const isPrefillLikelyRunning = candidate.pendingTokens >= prefilledTokens;
    const affinityBonusMs =
      candidate.record.name === preferredReplica && cachedBlocks === 0
        ? (prefilledTokens / pool.prefillTokensPerMs) * (isPrefillLikelyRunning ? 1 : affinityBonusShare)
        : 0;
    const usesReserve = isReserveLow && prefilledTokens >= longPrefillTokens && isLightlyLoaded(candidate);
    const reservePenaltyMs = usesReserve ? (reservePenaltyFactor * prefilledTokens) / pool.prefillTokensPerMs : 0;
    const costMs =
      reservePenaltyMs +
      candidate.pendingTokens / pool.prefillTokensPerMs +
      candidate.running * runningRequestCostMs +
      prefilledTokens / pool.prefillTokensPerMs +
      (pull?.costMs ?? 0) -
      affinityBonusMs;
    placements.push({ record: candidate.record, holder, localTokens, pulledTokens, prefilledTokens, costMs });
  }
  return placements;
};

/** Returns the placement of lowest cost; null if there is no candidate. */
export const choosePlacement = (index: PrefixIndex, query: PlacementQuery): Placement | null =>
  estimatePlacements(index, query).reduce<Placement | null>(
    (best, placement) => (best === null || placement.costMs < best.costMs ? placement : best),
    null,
  );
