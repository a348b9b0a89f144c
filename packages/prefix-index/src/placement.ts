/**
 * Chooses a replica for a prompt by the estimated milliseconds to its first token, after "A System for Microserving of
 * LLMs".
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
 * One prompt with the replicas that may run it. `tieBreak` is a random number from 0 to below 1; `pullExcessMs` is what
 * transfers between two replicas lately took beyond the estimate.
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

/** A replica with what it would prefill, pull and have cached, in tokens, and the estimated cost in milliseconds. */
export interface Placement {
  readonly record: ReplicaRecord;
  readonly holder: ReplicaRecord | null;
  readonly localTokens: number;
  readonly pulledTokens: number;
  readonly prefilledTokens: number;
  readonly costMs: number;
}

const runCostMs = 15;
const leastPulledBlocks = 2;
const leastColdBlocks = 8;
const affinityDiscount = 0.5;
const heavyTokens = 1_000;
const unburdenedShare = 0.5;
const reluctance = 2;

interface HolderKept {
  readonly record: ReplicaRecord;
  readonly blockCount: number;
}

const affinityHash = new RendezvousHash({ algorithm: 'sha256', separator: '' });

const preferredReplicaOf = (blocks: readonly string[], candidates: readonly Candidate[]): string | null => {
  const affinityBlock = blocks[leastColdBlocks - 1];
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
  holders: readonly HolderKept[],
  receiver: string,
  local: number,
): Pull | null => {
  let best: Pull | null = null;
  let bestGainMs = 0;
  for (const { record, blockCount } of holders) {
    if (record.name === receiver || blockCount - local < leastPulledBlocks) continue;
    const tokens = (blockCount - local) * prompts.blockTokens;
    const costMs = tokens / pool.pullTokensPerMs + pullExcessMs(record.name, receiver);
    const gainMs = tokens / pool.prefillTokensPerMs - costMs;
    if (gainMs <= bestGainMs) continue;
    best = { record, tokens, costMs };
    bestGainMs = gainMs;
  }
  return best;
};

/** The placements on all candidates with their costs, in an order turned by `tieBreak` so that equal costs spread. */
export const estimatePlacements = (index: PrefixIndex, question: PlacementQuery): Placement[] => {
  const { pool, blocks, now, isolatedTenant } = question;
  const keptBy = (record: ReplicaRecord) => index.match(record.name, blocks, isolatedTenant, now);
  const holders: HolderKept[] = [];
  if (question.useIndex && blocks.length > 0) {
    for (const record of question.holders) {
      const kept = keptBy(record);
      if (kept.canBeSource) holders.push({ record, blockCount: kept.blockCount });
    }
  }
  const home = question.useIndex && holders.length === 0 ? preferredReplicaOf(blocks, question.candidates) : null;
  const isUnburdened = (candidate: Candidate): boolean => candidate.pendingTokens < heavyTokens;
  const unburdened = question.candidates.filter(isUnburdened).length;
  const isLastUnburdened =
    question.candidates.length > 1 &&
    unburdened <= Math.max(1, Math.floor(question.candidates.length * unburdenedShare));
  const weighed: Placement[] = [];
  const offset = question.candidates.length === 0 ? 0 : Math.floor(question.tieBreak * question.candidates.length);
  for (let step = 0; step < question.candidates.length; step += 1) {
    const candidate = question.candidates[(step + offset) % question.candidates.length] as Candidate;
    const local = question.useIndex ? keptBy(candidate.record).blockCount : 0;
    const pull = bestPull(question, holders, candidate.record.name, local);
    const holder = pull?.record ?? null;
    const pulledTokens = pull?.tokens ?? 0;
    const localTokens = local * prompts.blockTokens;
    const prefilledTokens = Math.max(0, question.promptTokens - localTokens - pulledTokens);
    const isMakingLikely = candidate.pendingTokens >= prefilledTokens;
    const affinityBonusMs =
      candidate.record.name === home && local === 0
        ? (prefilledTokens / pool.prefillTokensPerMs) * (isMakingLikely ? 1 : affinityDiscount)
        : 0;
    const isBurden = isLastUnburdened && prefilledTokens >= heavyTokens && isUnburdened(candidate);
    const burdenMs = isBurden ? (reluctance * prefilledTokens) / pool.prefillTokensPerMs : 0;
    const costMs =
      burdenMs +
      candidate.pendingTokens / pool.prefillTokensPerMs +
      candidate.running * runCostMs +
      prefilledTokens / pool.prefillTokensPerMs +
      (pull?.costMs ?? 0) -
      affinityBonusMs;
    weighed.push({ record: candidate.record, holder, localTokens, pulledTokens, prefilledTokens, costMs });
  }
  return weighed;
};

/** The placement with the lowest cost; null where there is no candidate. */
export const choosePlacement = (index: PrefixIndex, question: PlacementQuery): Placement | null =>
  estimatePlacements(index, question).reduce<Placement | null>(
    (best, one) => (best === null || one.costMs < best.costMs ? one : best),
    null,
  );
