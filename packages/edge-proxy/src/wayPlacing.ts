import { createHash } from 'node:crypto';
import type { CallerOrder, Clock, Customer, Part, WayStore } from '@martenworks/core-types';
import { salts } from '@martenworks/route-table';
import type { BookView } from '@martenworks/route-table';
import type { ReplicaTracks, Track } from './replicaTracks.js';
import type { ShelfBook } from './shelfBook.js';
import type { KeptClaim } from './staleWatch.js';

const trackedTokens = 256;
const runCostMs = 4;
const homeGainMs = 60;
const secondGainMs = 20;
const crowdingShare = 0.8;
const uploadShare = 0.35;
const oldWeightsMs = 15;
const suspicionMs = 2_000;
const readTwiceMs = 800;
const illnessMs = 800;
const leastIllness = 0.05;

export interface WayPlace {
  readonly track: Track;
  readonly version: number | null;
  readonly salt: string | null;
  readonly holder: string | null;
  readonly store: string | null;
  readonly anchor: Part | null;
  readonly isKept: boolean;
  readonly isSoon: boolean;
  readonly isHome: boolean;
  readonly readTokens: number;
  readonly pullMs: number;
  readonly costMs: number;
  readonly claim: KeptClaim | null;
  readonly secondClaim: KeptClaim | null;
  readonly readsAll: boolean;
}

export interface WayQuestion {
  readonly pool: string;
  readonly order: CallerOrder;
  readonly customer: Customer | null;
  readonly avoided: ReadonlySet<string>;
}

export interface NamedSince {
  readonly version: number;
  readonly sinceMs: number;
  readonly earlier?: readonly NamedSince[];
}

const scores = {
  of: (label: string, name: string): string => createHash('sha1').update(label).update('\n').update(name).digest('hex'),
};

/** The part that decides where a prompt is at home: the last shareable one that is long enough to be worth keeping, else the last shareable one. A prompt's last part is its own or its session's. */
const anchorOf = (parts: readonly Part[]): { anchor: Part | null; at: number } => {
  const shareable = parts.length > 1 ? parts.slice(0, -1) : parts;
  const long = shareable.findLastIndex((part) => part.tokens >= trackedTokens);
  const at = long >= 0 ? long : shareable.length - 1;
  return { anchor: shareable[at] ?? null, at };
};

/** A store is sent a prompt's every part. One whose own end is long would fill the store with what nobody asks for again. */
const isWorthStoring = (parts: readonly Part[], at: number): boolean => {
  const sum = (some: readonly Part[]): number => some.reduce((total, part) => total + part.tokens, 0);
  return sum(parts.slice(at + 1)) <= sum(parts.slice(0, at + 1)) * uploadShare;
};

const promptTokens = (parts: readonly Part[]): number => parts.reduce((sum, part) => sum + part.tokens, 0);

const ranked = <T>(label: string, list: readonly T[], nameOf: (one: T) => string): T[] =>
  list
    .map((one) => ({ one, score: scores.of(label, nameOf(one)) }))
    .sort((a, b) => (a.score < b.score ? 1 : -1))
    .map(({ one }) => one);

/** Chooses the replica that runs a prompt and the one that hands over what it lacks. Homes come by rendezvous hashing over the anchor part (Thaler and Ravishankar), so that fronts which never talk choose alike; a busy home is left for a replica that pulls from it. */
export class WayPlacing {
  constructor(
    private readonly tracks: ReplicaTracks,
    private readonly shelves: ShelfBook,
    private readonly clock: Clock,
    private readonly named: (model: string) => NamedSince | null,
    private readonly oldWeightsForMs: number,
  ) {}

  private readonly mayRun = (track: Track, model: string | null, view: BookView): boolean => {
    if (track.card.isLeaving || this.tracks.isResting(track)) return false;
    if (model === null) return true;
    const version = track.card.weights[model];
    if (version === undefined) return view.pool(track.card.pool)?.engine === null;
    const named = this.named(model);
    return (
      named === null ||
      [named, ...(named.earlier ?? [])].every((one) => version >= one.version || one.sinceMs < this.oldWeightsForMs)
    );
  };

  private readonly saltFor = (
    track: Track,
    { order, customer }: WayQuestion,
  ): { version: number | null; salt: string | null } => {
    const version = order.model === null ? undefined : track.card.weights[order.model];
    return order.model === null || version === undefined
      ? { version: null, salt: null }
      : { version, salt: salts.of(order.model, version, customer) };
  };

  private readonly illnessMs = (track: Track): number => {
    const illness = this.tracks.illness(track);
    return illness < leastIllness ? 0 : illness * illnessMs;
  };

  /** Tokens of the prompt's beginning that an address keeps, by the index. */
  private readonly keptTokens = (address: string, salt: string, parts: readonly Part[], upTo: number): number =>
    promptTokens(this.keptParts(address, salt, parts, upTo));

  private readonly keptParts = (
    address: string,
    salt: string,
    parts: readonly Part[],
    upTo: number,
  ): readonly Part[] => {
    const missing = parts
      .slice(0, upTo + 1)
      .findIndex((part) => part.tokens >= trackedTokens && !this.shelves.keeps(address, salt, part.id, part.tokens));
    const kept = parts.slice(0, missing < 0 ? upTo + 1 : missing);
    return kept.some((part) => part.tokens >= trackedTokens) ? kept : [];
  };

  private readonly claimOf = (
    address: string,
    salt: string,
    parts: readonly Part[],
    upTo: number,
    pullMs: ((tokens: number) => number) | null,
  ): KeptClaim | null => {
    const kept = this.keptParts(address, salt, parts, upTo);
    const tokens = promptTokens(kept);
    return tokens === 0
      ? null
      : {
          address,
          salt,
          parts: kept.filter((part) => part.tokens >= trackedTokens).map((part) => part.id),
          tokens,
          pullMs: pullMs === null ? null : pullMs(tokens),
        };
  };

  private readonly storeFor = (
    anchor: Part,
    salt: string,
    stores: readonly WayStore[],
  ): { keeping: WayStore | null; home: WayStore | null } => {
    const heard = ranked(
      anchor.id,
      stores.filter((store) => this.shelves.isHeard(store.address)),
      (store) => store.name,
    );
    return {
      keeping: heard.find((store) => this.shelves.keeps(store.address, salt, anchor.id, anchor.tokens)) ?? null,
      home: heard[0] ?? null,
    };
  };

  readonly place = (question: WayQuestion, view: BookView, connections: number): WayPlace | null => {
    const { order, pool, avoided } = question;
    const all = this.tracks.inPool(pool);
    const open = all.filter(
      (track) => this.mayRun(track, order.model, view) && !avoided.has(track.card.id) && track.running < connections,
    );
    if (open.length === 0) return null;
    const { anchor, at } = anchorOf(order.parts);
    const isTracked = anchor !== null && anchor.tokens >= trackedTokens;
    const isBarred = (track: Track): boolean => {
      const { salt } = this.saltFor(track, question);
      return anchor !== null && salt !== null && this.shelves.isBarred(track.card.address, salt, anchor.id);
    };
    const homes =
      anchor === null
        ? []
        : ranked(
            `${anchor.id}${question.customer?.isIsolated === true ? question.customer.name : ''}`,
            all.filter((track) => !track.card.isLeaving && !isBarred(track)),
            (track) => track.card.id,
          );
    const named = order.model === null ? null : this.named(order.model);
    const engine = view.pool(pool)?.engine ?? null;
    const pullMs = (tokens: number): number =>
      engine === null || !(engine.linkMbps > 0) ? 0 : (tokens * engine.tokenBytes * 8) / (engine.linkMbps * 1_000);
    const anyKept = new Map<string, boolean>();
    const keepsAnchor = (track: Track, salt: string): boolean => {
      const label = `${track.card.id} ${salt}`;
      const held = anyKept.get(label) ?? this.keptTokens(track.card.address, salt, order.parts, at) > 0;
      anyKept.set(label, held);
      return held;
    };
    const isBeingRead =
      isTracked &&
      all.some((track) => {
        const { salt } = this.saltFor(track, question);
        return (
          salt !== null &&
          !track.card.isLeaving &&
          !this.tracks.isSuspect(track) &&
          this.shelves.isReading(track.card.address, salt, anchor.id)
        );
      });
    let best: {
      track: Track;
      costMs: number;
      readTokens: number;
      version: number | null;
      salt: string | null;
      isKept: boolean;
      isSoon: boolean;
      isHome: boolean;
      pullMs: number;
    } | null = null;
    const offset = Math.floor(this.clock.now()) % open.length;
    for (let step = 0; step < open.length; step += 1) {
      const track = open[(step + offset) % open.length] as Track;
      const { version, salt } = this.saltFor(track, question);
      const rank = homes.indexOf(track);
      const isKept = isTracked && salt !== null && keepsAnchor(track, salt);
      const isSoon =
        isTracked && !isKept && salt !== null && this.shelves.isReading(track.card.address, salt, anchor.id);
      const hasHolder =
        isTracked &&
        !isKept &&
        !isSoon &&
        salt !== null &&
        all.some((other) => other !== track && this.tracks.mayHandOver(other) && keepsAnchor(other, salt));
      const anchorTokens = isTracked ? order.parts.slice(0, at + 1).reduce((sum, part) => sum + part.tokens, 0) : 0;
      const readTokens = Math.max(0, order.tokensIn - (isKept || isSoon || hasHolder ? anchorTokens : 0));
      const crowdingMs = hasHolder ? this.tracks.readMs(anchorTokens) * crowdingShare + pullMs(anchorTokens) : 0;
      const gainMs =
        rank === 0
          ? homeGainMs +
            (isTracked && !isKept && !isSoon && !hasHolder ? this.tracks.readMs(anchorTokens) * crowdingShare : 0)
          : rank === 1
            ? secondGainMs
            : 0;
      const costMs =
        this.tracks.readMs(track.pendingTokens + track.othersTokens + readTokens) +
        track.running * runCostMs +
        crowdingMs +
        (isBeingRead && !isKept && !isSoon && !hasHolder ? readTwiceMs : 0) -
        gainMs +
        (this.tracks.isSuspect(track) ? suspicionMs : 0) +
        this.illnessMs(track) +
        (named !== null && version !== null && version < named.version ? oldWeightsMs : 0);
      if (best === null || costMs < best.costMs)
        best = {
          track,
          costMs,
          readTokens,
          version,
          salt,
          isKept,
          isSoon,
          isHome: rank === 0,
          pullMs: hasHolder ? pullMs(anchorTokens) : 0,
        };
    }
    if (best === null) return null;
    const { track, salt } = best;
    if (!isTracked || salt === null)
      return { ...best, track, holder: null, store: null, anchor, claim: null, secondClaim: null, readsAll: true };
    const { keeping, home } = this.storeFor(anchor, salt, view.book.stores);
    const holders = best.isKept
      ? []
      : all
          .filter((other) => other !== track && this.tracks.mayHandOver(other) && keepsAnchor(other, salt))
          .sort((a, b) => Number(this.tracks.isSuspect(a)) - Number(this.tracks.isSuspect(b)));
    const near =
      holders.find((other) => other.card.zone === track.card.zone && !this.tracks.isSuspect(other)) ?? holders[0];
    const guess = homes.find((other) => other !== track && !this.tracks.isSuspect(other));
    const holder =
      near?.card.address ??
      keeping?.address ??
      (best.isKept ? null : (home?.address ?? (homes[0] === track ? null : (guess?.card.address ?? null))));
    const source = best.isSoon ? undefined : (near?.card.address ?? keeping?.address);
    const claim = best.isKept
      ? this.claimOf(track.card.address, salt, order.parts, at, null)
      : source === undefined
        ? null
        : this.claimOf(source, salt, order.parts, at, pullMs);
    const secondClaim =
      best.isKept && keeping !== null && holder === keeping.address
        ? this.claimOf(keeping.address, salt, order.parts, at, pullMs)
        : null;
    const readsAll = claim === null && !best.isSoon && (holder === null || holder === home?.address);
    return {
      ...best,
      track,
      holder,
      store: keeping === null && isWorthStoring(order.parts, at) ? (home?.address ?? null) : null,
      anchor,
      claim,
      secondClaim,
      readsAll,
    };
  };
}
