import type { CardsNews, Clock, ReadingNews, ReplicaCard, WeightsNews } from '@martenworks/core-types';

const firstSuspicionMs = 400;
const longestSuspicionMs = 4_000;
const illnessHalfMs = 4_000;
const illnessBlend = 0.3;
const healthBlend = 0.1;
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

export interface Track {
  card: ReplicaCard;
  running: number;
  pendingTokens: number;
  othersTokens: number;
  suspectUntil: number;
  suspicionMs: number;
  fullUntil: number;
  restUntil: number;
  illness: number;
  illAt: number;
  isBroken: boolean;
  isGone: boolean;
  doubtedAt: number | null;
  readonly whenGone: Set<() => void>;
  readonly samples: number[];
  readonly notes: { readonly at: number; readonly tokens: number }[];
}

const newest = (told: ReplicaCard, held: ReplicaCard): ReplicaCard => {
  const weights = { ...held.weights };
  for (const [model, version] of Object.entries(told.weights)) weights[model] = Math.max(version, weights[model] ?? 0);
  return { ...told, weights, isLeaving: told.isLeaving || held.isLeaving };
};

/** What this front knows of each replica's life: its card, what it runs there, and how far it is trusted. */
export class ReplicaTracks {
  private readonly tracks = new Map<string, Track>();
  private readonly byPool = new Map<string, Track[]>();
  private readonly readings = new Map<string, { readonly replica: string; readonly tokens: number }>();
  private readonly poolSamples = new Map<string, number[]>();
  private tokensPerMs = startTokensPerMs;

  constructor(private readonly clock: Clock) {}

  /** Tells at which addresses another life came, and which have none any more. */
  readonly take = ({ isWhole, put, gone }: CardsNews): { born: string[]; left: string[] } => {
    const before = this.lives();
    const told = new Set(put.map((card) => card.id));
    for (const card of put) {
      const held = this.tracks.get(card.id);
      if (held === undefined)
        this.tracks.set(card.id, {
          card,
          running: 0,
          pendingTokens: 0,
          othersTokens: 0,
          suspectUntil: 0,
          suspicionMs: firstSuspicionMs,
          fullUntil: 0,
          restUntil: 0,
          illness: 0,
          illAt: 0,
          isBroken: false,
          isGone: false,
          doubtedAt: null,
          whenGone: new Set(),
          samples: [],
          notes: [],
        });
      else Object.assign(held, { card: newest(card, held.card), doubtedAt: null });
    }
    for (const id of gone) this.remove(id);
    if (isWhole) for (const track of this.tracks.values()) if (!told.has(track.card.id)) this.doubt(track);
    this.group();
    const after = this.lives();
    const former = [...before];
    const isBorn = ([address, ids]: [string, ReadonlySet<string>]): boolean =>
      [...(after.get(address) ?? [])].some((id) => !ids.has(id));
    return {
      born: former.filter(isBorn).map(([address]) => address),
      left: former.flatMap(([address]) => (after.has(address) ? [] : [address])),
    };
  };

  private readonly group = (): void => {
    this.byPool.clear();
    for (const track of this.tracks.values())
      this.byPool.set(track.card.pool, [...(this.byPool.get(track.card.pool) ?? []), track]);
  };

  private readonly lives = (): Map<string, Set<string>> => {
    const found = new Map<string, Set<string>>();
    for (const { card } of this.tracks.values())
      found.set(card.address, (found.get(card.address) ?? new Set()).add(card.id));
    return found;
  };

  /** A whole list may come from a core node that has read it less lately than the one before: what it lacks is gone only if it is not told of again. */
  private readonly doubt = (track: Track): void => {
    if (track.doubtedAt !== null) return;
    const at = this.clock.now();
    track.doubtedAt = at;
    this.clock.after(doubtMs, () => {
      if (track.doubtedAt !== at || track.isGone) return;
      this.remove(track.card.id);
      this.group();
    });
  };

  private readonly remove = (id: string): void => {
    const track = this.tracks.get(id);
    if (track === undefined) return;
    this.tracks.delete(id);
    track.isGone = true;
    for (const verb of [...track.whenGone]) verb();
  };

  readonly takeWeights = ({ id, model, version, forMs }: WeightsNews): void => {
    const track = this.tracks.get(id);
    if (track === undefined) return;
    track.restUntil = version === null ? this.clock.now() + forMs : 0;
    if (version !== null) this.holds(track, model, version);
  };

  /** What other fronts have replicas read; a note whose end never comes is forgotten. */
  readonly takeReading = ({ id, replica, tokens }: ReadingNews): void => {
    const held = this.readings.get(id);
    if (held !== undefined) {
      this.readings.delete(id);
      const track = this.tracks.get(held.replica);
      if (track !== undefined) track.othersTokens = Math.max(0, track.othersTokens - held.tokens);
    }
    const track = this.tracks.get(replica);
    if (tokens <= 0 || track === undefined) return;
    this.readings.set(id, { replica, tokens });
    track.othersTokens += tokens;
    this.note(track, tokens);
    this.clock.after(readingForgetMs, () => {
      if (this.readings.has(id)) this.takeReading({ id, replica, tokens: 0, salt: null, part: null });
    });
  };

  private readonly note = ({ notes }: Track, tokens: number): void => {
    const at = this.clock.now();
    notes.push({ at, tokens });
    while (notes.length > mostNotes || at - (notes[0]?.at ?? at) > notesMs) notes.shift();
  };

  /** Tokens that came to the replica just after `sentAt`; other fronts' notes travel for a while, so some of them were there before. */
  readonly cameWith = ({ notes }: Track, sentAt: number): number =>
    notes.reduce((sum, { at, tokens }) => (at >= sentAt && at <= sentAt + noteTravelMs ? sum + tokens : sum), 0);

  readonly addressOf = (id: string): string | null => this.tracks.get(id)?.card.address ?? null;

  readonly holds = (track: Track, model: string, version: number): void => {
    if ((track.card.weights[model] ?? 0) < version)
      track.card = { ...track.card, weights: { ...track.card.weights, [model]: version } };
  };

  readonly inPool = (pool: string): readonly Track[] => this.byPool.get(pool) ?? [];

  readonly all = (): Track[] => [...this.tracks.values()];

  readonly isSuspect = (track: Track): boolean => track.suspectUntil > this.clock.now();

  readonly isResting = (track: Track): boolean => Math.max(track.restUntil, track.fullUntil) > this.clock.now();

  readonly began = (track: Track, tokens: number): void => {
    track.running += 1;
    track.pendingTokens += tokens;
    this.note(track, tokens);
  };

  readonly given = (track: Track, tokens: number): void => {
    track.pendingTokens = Math.max(0, track.pendingTokens - tokens);
  };

  readonly ended = (track: Track): void => {
    track.running = Math.max(0, track.running - 1);
  };

  /** How much of what was sent there lately failed, 0 to 1, forgotten by half every four seconds: a replica may look well and fail a part of its requests. */
  readonly illness = (track: Track): number =>
    track.illness * 0.5 ** ((this.clock.now() - track.illAt) / illnessHalfMs);

  private readonly feels = (track: Track, share: number, isIll: boolean): void => {
    const held = this.illness(track);
    track.illness = held + ((isIll ? 1 : 0) - held) * share;
    track.illAt = this.clock.now();
  };

  readonly answered = (track: Track): void => {
    this.feels(track, healthBlend, false);
    track.isBroken = false;
    track.suspectUntil = 0;
    track.suspicionMs = firstSuspicionMs;
  };

  /** It was silent for longer than it should be: avoided for a while, without being held ill. */
  readonly slow = (track: Track): void => this.suspect(track);

  readonly failed = (track: Track): void => {
    this.feels(track, illnessBlend, true);
    track.isBroken = true;
    this.suspect(track);
  };

  /** Whether it may hand over what it keeps: one that is only slow may, one whose last word was a failure costs its receiver some hundred milliseconds if it is dead. */
  readonly mayHandOver = (track: Track): boolean => !track.isGone && !(track.isBroken && this.isSuspect(track));

  private readonly suspect = (track: Track): void => {
    const now = this.clock.now();
    if (track.suspectUntil > now) return;
    track.suspectUntil = now + track.suspicionMs;
    track.suspicionMs = Math.min(longestSuspicionMs, track.suspicionMs * 2);
  };

  readonly full = (track: Track, forMs: number): void => {
    track.fullUntil = Math.max(track.fullUntil, this.clock.now() + forMs);
  };

  /** The reading rate follows quick answers at once and slow ones hardly: what a front does not see can only make an answer slower, and in a crowded pool every answer is slow. */
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
  readonly sampled = (track: Track, tokens: number, spentMs: number): void => {
    if (tokens < heavyTokens || spentMs <= 0) return;
    const { pool } = track.card;
    const held = this.poolSamples.get(pool) ?? [];
    this.poolSamples.set(pool, held);
    for (const [samples, most] of [
      [track.samples, mostSamples],
      [held, mostPoolSamples],
    ] as const) {
      samples.push(tokens / spentMs);
      if (samples.length > most) samples.shift();
    }
  };

  /** Tokens that the replica reads in a millisecond: by the quicker of its own samples, else of its pool's, since what this front doesn't see (a wait, a part that was not kept) only slows them, and too slow a rate speaks against nobody; null while too few are there. */
  readonly readingRate = (track: Track): number | null => {
    const samples =
      track.samples.length >= leastSamples ? track.samples : (this.poolSamples.get(track.card.pool) ?? []);
    return samples.length < leastSamples
      ? null
      : ([...samples].sort((a, b) => a - b)[Math.floor(samples.length * quickShare)] as number);
  };

  readonly readMs = (tokens: number): number => tokens / this.tokensPerMs;
}
