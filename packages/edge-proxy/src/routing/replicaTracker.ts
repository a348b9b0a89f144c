import { replicaEndpoints } from '@martenworks/core-types';
import type { EndpointListUpdate, Clock, PrefillNotice, ReplicaEndpoint, WeightsUpdate } from '@martenworks/core-types';

const firstSuspicionMs = 400;
const longestSuspicionMs = 4_000;
const errorRateHalfLifeMs = 4_000;
const failureWeight = 0.3;
const successWeight = 0.1;
const typicalBlend = 0.05;
const quickerBlend = 0.3;
const slowerBlend = 0.01;
const startTokensPerMs = 40;
const slowestTokensPerMs = 10;
const fastestTokensPerMs = 1_000;
export const heavyTokens = 1_000;
const readingForgetMs = 2_500;
const doubtMs = 4_000;

const mostSamples = 9;
const mostPoolSamples = 31;
const leastSamples = 3;
const mostNotes = 64;
const notesMs = 10_000;
const noteTravelMs = 150;
const quickShare = 0.75;

/** Addresses at which another incarnation of a replica came, and those that have none any more. */
export interface EndpointChanges {
  readonly changedAddresses: readonly string[];
  readonly vacatedAddresses: readonly string[];
}

export interface TrackedReplica {
  endpoint: ReplicaEndpoint;
  running: number;
  pendingTokens: number;
  othersTokens: number;
  suspectUntil: number;
  suspicionMs: number;
  fullUntil: number;
  restUntil: number;
  errorRate: number;
  errorRateAt: number;
  isBroken: boolean;
  isGone: boolean;
  doubtedAt: number | null;
  readonly whenGone: Set<() => void>;
  readonly samples: number[];
  readonly notes: { readonly at: number; readonly tokens: number }[];
}

/** What this edge knows of each replica's life: its endpoint, what it runs there, and how far it is trusted. */
export class ReplicaTracker {
  private readonly replicaTracker = new Map<string, TrackedReplica>();
  private readonly byPool = new Map<string, TrackedReplica[]>();
  private readonly readings = new Map<string, { readonly replica: string; readonly tokens: number }>();
  private readonly poolSamples = new Map<string, number[]>();
  private tokensPerMs = startTokensPerMs;

  constructor(private readonly clock: Clock) {}

  /** Tells at which addresses another life came, and which have none any more. */
  readonly take = ({ isWhole, put, gone }: EndpointListUpdate): EndpointChanges => {
    const before = this.lives();
    const told = new Set(put.map((endpoint) => endpoint.id));
    for (const endpoint of put) {
      const held = this.replicaTracker.get(endpoint.id);
      if (held === undefined)
        this.replicaTracker.set(endpoint.id, {
          endpoint,
          running: 0,
          pendingTokens: 0,
          othersTokens: 0,
          suspectUntil: 0,
          suspicionMs: firstSuspicionMs,
          fullUntil: 0,
          restUntil: 0,
          errorRate: 0,
          errorRateAt: 0,
          isBroken: false,
          isGone: false,
          doubtedAt: null,
          whenGone: new Set(),
          samples: [],
          notes: [],
        });
      else Object.assign(held, { endpoint: replicaEndpoints.merge(endpoint, held.endpoint), doubtedAt: null });
    }
    for (const id of gone) this.remove(id);
    if (isWhole)
      for (const tracked of this.replicaTracker.values()) if (!told.has(tracked.endpoint.id)) this.doubt(tracked);
    this.group();
    const after = this.lives();
    const former = [...before];
    const isBorn = ([address, ids]: [string, ReadonlySet<string>]): boolean =>
      [...(after.get(address) ?? [])].some((id) => !ids.has(id));
    return {
      changedAddresses: former.filter(isBorn).map(([address]) => address),
      vacatedAddresses: former.flatMap(([address]) => (after.has(address) ? [] : [address])),
    };
  };

  private readonly group = (): void => {
    this.byPool.clear();
    for (const tracked of this.replicaTracker.values())
      this.byPool.set(tracked.endpoint.pool, [...(this.byPool.get(tracked.endpoint.pool) ?? []), tracked]);
  };

  private readonly lives = (): Map<string, Set<string>> => {
    const found = new Map<string, Set<string>>();
    for (const { endpoint } of this.replicaTracker.values())
      found.set(endpoint.address, (found.get(endpoint.address) ?? new Set()).add(endpoint.id));
    return found;
  };

  /** A whole list may come from a control node that has read it less lately than the one before: what it lacks is gone only if it is not told of again. */
  private readonly doubt = (tracked: TrackedReplica): void => {
    if (tracked.doubtedAt !== null) return;
    const at = this.clock.now();
    tracked.doubtedAt = at;
    this.clock.after(doubtMs, () => {
      if (tracked.doubtedAt !== at || tracked.isGone) return;
      this.remove(tracked.endpoint.id);
      this.group();
    });
  };

  private readonly remove = (id: string): void => {
    const tracked = this.replicaTracker.get(id);
    if (tracked === undefined) return;
    this.replicaTracker.delete(id);
    tracked.isGone = true;
    for (const verb of [...tracked.whenGone]) verb();
  };

  readonly takeWeights = ({ id, model, version, forMs }: WeightsUpdate): void => {
    const tracked = this.replicaTracker.get(id);
    if (tracked === undefined) return;
    tracked.restUntil = version === null ? this.clock.now() + forMs : 0;
    if (version !== null) this.holds(tracked, model, version);
  };

  /** What other edges have replicas read; a note whose end never comes is forgotten. */
  readonly takeReading = ({ id, replica, tokens }: PrefillNotice): void => {
    const held = this.readings.get(id);
    if (held !== undefined) {
      this.readings.delete(id);
      const tracked = this.replicaTracker.get(held.replica);
      if (tracked !== undefined) tracked.othersTokens = Math.max(0, tracked.othersTokens - held.tokens);
    }
    const tracked = this.replicaTracker.get(replica);
    if (tokens <= 0 || tracked === undefined) return;
    this.readings.set(id, { replica, tokens });
    tracked.othersTokens += tokens;
    this.note(tracked, tokens);
    this.clock.after(readingForgetMs, () => {
      if (this.readings.has(id)) this.takeReading({ id, replica, tokens: 0, salt: null, part: null });
    });
  };

  private readonly note = ({ notes }: TrackedReplica, tokens: number): void => {
    const at = this.clock.now();
    notes.push({ at, tokens });
    while (notes.length > mostNotes || at - (notes[0]?.at ?? at) > notesMs) notes.shift();
  };

  /** Tokens that came to the replica just after `sentAt`; other fronts' notes travel for a while, so some of them were there before. */
  readonly cameWith = ({ notes }: TrackedReplica, sentAt: number): number =>
    notes.reduce((sum, { at, tokens }) => (at >= sentAt && at <= sentAt + noteTravelMs ? sum + tokens : sum), 0);

  readonly addressOf = (id: string): string | null => this.replicaTracker.get(id)?.endpoint.address ?? null;

  readonly holds = (tracked: TrackedReplica, model: string, version: number): void => {
    if ((tracked.endpoint.weights[model] ?? 0) < version)
      tracked.endpoint = { ...tracked.endpoint, weights: { ...tracked.endpoint.weights, [model]: version } };
  };

  readonly inPool = (pool: string): readonly TrackedReplica[] => this.byPool.get(pool) ?? [];

  readonly all = (): TrackedReplica[] => [...this.replicaTracker.values()];

  readonly isSuspect = (tracked: TrackedReplica): boolean => tracked.suspectUntil > this.clock.now();

  readonly isResting = (tracked: TrackedReplica): boolean =>
    Math.max(tracked.restUntil, tracked.fullUntil) > this.clock.now();

  readonly began = (tracked: TrackedReplica, tokens: number): void => {
    tracked.running += 1;
    tracked.pendingTokens += tokens;
    this.note(tracked, tokens);
  };

  readonly given = (tracked: TrackedReplica, tokens: number): void => {
    tracked.pendingTokens = Math.max(0, tracked.pendingTokens - tokens);
  };

  readonly ended = (tracked: TrackedReplica): void => {
    tracked.running = Math.max(0, tracked.running - 1);
  };

  /** How much of what was sent there lately failed, 0 to 1, forgotten by half every four seconds: a replica may look well and fail a part of its requests. */
  readonly errorRate = (tracked: TrackedReplica): number =>
    tracked.errorRate * 0.5 ** ((this.clock.now() - tracked.errorRateAt) / errorRateHalfLifeMs);

  private readonly recordOutcome = (tracked: TrackedReplica, share: number, isFailure: boolean): void => {
    const held = this.errorRate(tracked);
    tracked.errorRate = held + ((isFailure ? 1 : 0) - held) * share;
    tracked.errorRateAt = this.clock.now();
  };

  readonly answered = (tracked: TrackedReplica): void => {
    this.recordOutcome(tracked, successWeight, false);
    tracked.isBroken = false;
    tracked.suspectUntil = 0;
    tracked.suspicionMs = firstSuspicionMs;
  };

  /** It was silent for longer than it should be: avoided for a while, without being held ill. */
  readonly slow = (tracked: TrackedReplica): void => this.suspect(tracked);

  readonly failed = (tracked: TrackedReplica): void => {
    this.recordOutcome(tracked, failureWeight, true);
    tracked.isBroken = true;
    this.suspect(tracked);
  };

  /** Whether it may hand over what it keeps: one that is only slow may, one whose last word was a failure costs its receiver some hundred milliseconds if it is dead. */
  readonly mayHandOver = (tracked: TrackedReplica): boolean =>
    !tracked.isGone && !(tracked.isBroken && this.isSuspect(tracked));

  private readonly suspect = (tracked: TrackedReplica): void => {
    const now = this.clock.now();
    if (tracked.suspectUntil > now) return;
    tracked.suspectUntil = now + tracked.suspicionMs;
    tracked.suspicionMs = Math.min(longestSuspicionMs, tracked.suspicionMs * 2);
  };

  readonly full = (tracked: TrackedReplica, forMs: number): void => {
    tracked.fullUntil = Math.max(tracked.fullUntil, this.clock.now() + forMs);
  };

  /** The reading rate follows quick answers at once and slow ones hardly: what an edge does not see can only make an answer slower, and in a crowded pool every answer is slow. */
  readonly measured = (tokens: number, spentMs: number): void => {
    if (tokens < heavyTokens || spentMs <= 0) return;
    const seen = Math.min(fastestTokensPerMs, Math.max(slowestTokensPerMs, tokens / spentMs));
    this.tokensPerMs += (seen - this.tokensPerMs) * (seen > this.tokensPerMs ? quickerBlend : slowerBlend);
  };

  private readonly firsts = new Map<string, number>();

  /** Milliseconds until first events in this pool lately, long prompts and waits included: where all are slow, none is to be left for its slowness. */
  readonly firstSeen = (pool: string, spentMs: number): void => {
    const held = this.firsts.get(pool) ?? 0;
    this.firsts.set(pool, held + (spentMs - held) * typicalBlend);
  };

  readonly typicalFirstMs = (pool: string): number => this.firsts.get(pool) ?? 0;

  /** Like `measured`, but of a prompt that met an idle replica and was read whole: what late answers are held against. */
  readonly sampled = (tracked: TrackedReplica, tokens: number, spentMs: number): void => {
    if (tokens < heavyTokens || spentMs <= 0) return;
    const { pool } = tracked.endpoint;
    const held = this.poolSamples.get(pool) ?? [];
    this.poolSamples.set(pool, held);
    for (const [samples, most] of [
      [tracked.samples, mostSamples],
      [held, mostPoolSamples],
    ] as const) {
      samples.push(tokens / spentMs);
      if (samples.length > most) samples.shift();
    }
  };

  /** Tokens that the replica reads in a millisecond: by the quicker of its own samples, else of its pool's, since what this edge doesn't see (a wait, a part that was not kept) only slows them, and too slow a rate speaks against nobody; null while too few are there. */
  readonly readingRate = (tracked: TrackedReplica): number | null => {
    const samples =
      tracked.samples.length >= leastSamples ? tracked.samples : (this.poolSamples.get(tracked.endpoint.pool) ?? []);
    return samples.length < leastSamples
      ? null
      : ([...samples].sort((a, b) => a - b)[Math.floor(samples.length * quickShare)] as number);
  };

  readonly readMs = (tokens: number): number => tokens / this.tokensPerMs;
}
