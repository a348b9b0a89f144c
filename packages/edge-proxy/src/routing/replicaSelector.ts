import { createHash } from 'node:crypto';
import type { RequestMetadata, Clock, Customer, PromptPart, CacheStore } from '@martenworks/core-types';
import { salts } from '@martenworks/route-table';
import type { RoutingTableView } from '@martenworks/route-table';
import type { ReplicaTracker, TrackedReplica } from './replicaTracker.js';
import type { PrefixCacheIndex } from '../prefixcache/prefixCacheIndex.js';
import type { ExpectedHit } from '../prefixcache/staleEntryDetector.js';

const trackedTokens = 256;
const runCostMs = 4;
const affinityBonusMs = 60;
const secondChoiceBonusMs = 20;
const crowdingShare = 0.8;
const uploadShare = 0.35;
const oldWeightsMs = 15;
const suspicionMs = 2_000;
const readTwiceMs = 800;
const errorPenaltyMs = 800;
const negligibleErrorRate = 0.05;

export interface Placement {
  readonly tracked: TrackedReplica;
  readonly version: number | null;
  readonly salt: string | null;
  readonly holder: string | null;
  readonly store: string | null;
  readonly affinityPart: PromptPart | null;
  readonly isKept: boolean;
  readonly isSoon: boolean;
  readonly isPreferred: boolean;
  readonly readTokens: number;
  readonly pullMs: number;
  readonly costMs: number;
  readonly expectedHit: ExpectedHit | null;
  readonly secondExpectedHit: ExpectedHit | null;
  readonly readsAll: boolean;
}

export interface PlacementQuery {
  readonly pool: string;
  readonly order: RequestMetadata;
  readonly customer: Customer | null;
  readonly avoided: ReadonlySet<string>;
}

export interface WeightsTarget {
  readonly version: number;
  readonly sinceMs: number;
  readonly earlier?: readonly WeightsTarget[];
}

const scores = {
  of: (label: string, name: string): string => createHash('sha1').update(label).update('\n').update(name).digest('hex'),
};

/** The part that decides where a prompt is at home: the last shareable one that is long enough to be worth keeping, else the last shareable one. A prompt's last part is its own or its session's. */
const affinityPartOf = (parts: readonly PromptPart[]): { affinityPart: PromptPart | null; at: number } => {
  const shareable = parts.length > 1 ? parts.slice(0, -1) : parts;
  const long = shareable.findLastIndex((part) => part.tokens >= trackedTokens);
  const at = long >= 0 ? long : shareable.length - 1;
  return { affinityPart: shareable[at] ?? null, at };
};

/** A store is sent a prompt's every part. One whose own end is long would fill the store with what nobody asks for again. */
const isWorthStoring = (parts: readonly PromptPart[], at: number): boolean => {
  const sum = (some: readonly PromptPart[]): number => some.reduce((total, part) => total + part.tokens, 0);
  return sum(parts.slice(at + 1)) <= sum(parts.slice(0, at + 1)) * uploadShare;
};

const promptTokens = (parts: readonly PromptPart[]): number => parts.reduce((sum, part) => sum + part.tokens, 0);

const ranked = <T>(label: string, list: readonly T[], nameOf: (one: T) => string): T[] =>
  list
    .map((one) => ({ one, score: scores.of(label, nameOf(one)) }))
    .sort((a, b) => (a.score < b.score ? 1 : -1))
    .map(({ one }) => one);

/** Chooses the replica that runs a prompt and the one that hands over what it lacks. Homes come by rendezvous hashing over the anchor part (Thaler and Ravishankar), so that edges which never talk choose alike; a busy home is left for a replica that pulls from it. */
export class ReplicaSelector {
  constructor(
    private readonly replicaTracker: ReplicaTracker,
    private readonly prefixCaches: PrefixCacheIndex,
    private readonly clock: Clock,
    private readonly weightsTargetOf: (model: string) => WeightsTarget | null,
    private readonly oldWeightsForMs: number,
  ) {}

  private readonly mayRun = (tracked: TrackedReplica, model: string | null, view: RoutingTableView): boolean => {
    if (tracked.endpoint.isLeaving || this.replicaTracker.isResting(tracked)) return false;
    if (model === null) return true;
    const version = tracked.endpoint.weights[model];
    if (version === undefined) return view.pool(tracked.endpoint.pool)?.engine === null;
    const named = this.weightsTargetOf(model);
    return (
      named === null ||
      [named, ...(named.earlier ?? [])].every((one) => version >= one.version || one.sinceMs < this.oldWeightsForMs)
    );
  };

  private readonly saltFor = (
    tracked: TrackedReplica,
    { order, customer }: PlacementQuery,
  ): { version: number | null; salt: string | null } => {
    const version = order.model === null ? undefined : tracked.endpoint.weights[order.model];
    return order.model === null || version === undefined
      ? { version: null, salt: null }
      : { version, salt: salts.of(order.model, version, customer) };
  };

  private readonly errorPenaltyMs = (tracked: TrackedReplica): number => {
    const errorRate = this.replicaTracker.errorRate(tracked);
    return errorRate < negligibleErrorRate ? 0 : errorRate * errorPenaltyMs;
  };

  /** Tokens of the prompt's beginning that an address keeps, by the index. */
  private readonly keptTokens = (address: string, salt: string, parts: readonly PromptPart[], upTo: number): number =>
    promptTokens(this.keptParts(address, salt, parts, upTo));

  private readonly keptParts = (
    address: string,
    salt: string,
    parts: readonly PromptPart[],
    upTo: number,
  ): readonly PromptPart[] => {
    const missing = parts
      .slice(0, upTo + 1)
      .findIndex(
        (part) => part.tokens >= trackedTokens && !this.prefixCaches.keeps(address, salt, part.id, part.tokens),
      );
    const kept = parts.slice(0, missing < 0 ? upTo + 1 : missing);
    return kept.some((part) => part.tokens >= trackedTokens) ? kept : [];
  };

  private readonly expectedHitOf = (
    address: string,
    salt: string,
    parts: readonly PromptPart[],
    upTo: number,
    pullMs: ((tokens: number) => number) | null,
  ): ExpectedHit | null => {
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
    affinityPart: PromptPart,
    salt: string,
    stores: readonly CacheStore[],
  ): { keeping: CacheStore | null; preferredStore: CacheStore | null } => {
    const heard = ranked(
      affinityPart.id,
      stores.filter((store) => this.prefixCaches.isHeard(store.address)),
      (store) => store.name,
    );
    return {
      keeping:
        heard.find((store) => this.prefixCaches.keeps(store.address, salt, affinityPart.id, affinityPart.tokens)) ??
        null,
      preferredStore: heard[0] ?? null,
    };
  };

  readonly place = (question: PlacementQuery, view: RoutingTableView, connections: number): Placement | null => {
    const { order, pool, avoided } = question;
    const all = this.replicaTracker.inPool(pool);
    const open = all.filter(
      (tracked) =>
        this.mayRun(tracked, order.model, view) && !avoided.has(tracked.endpoint.id) && tracked.running < connections,
    );
    if (open.length === 0) return null;
    const { affinityPart, at } = affinityPartOf(order.parts);
    const isTracked = affinityPart !== null && affinityPart.tokens >= trackedTokens;
    const isQuarantined = (tracked: TrackedReplica): boolean => {
      const { salt } = this.saltFor(tracked, question);
      return (
        affinityPart !== null &&
        salt !== null &&
        this.prefixCaches.isQuarantined(tracked.endpoint.address, salt, affinityPart.id)
      );
    };
    const preferred =
      affinityPart === null
        ? []
        : ranked(
            `${affinityPart.id}${question.customer?.isIsolated === true ? question.customer.name : ''}`,
            all.filter((tracked) => !tracked.endpoint.isLeaving && !isQuarantined(tracked)),
            (tracked) => tracked.endpoint.id,
          );
    const named = order.model === null ? null : this.weightsTargetOf(order.model);
    const engine = view.pool(pool)?.engine ?? null;
    const pullMs = (tokens: number): number =>
      engine === null || !(engine.linkMbps > 0) ? 0 : (tokens * engine.tokenBytes * 8) / (engine.linkMbps * 1_000);
    const anyKept = new Map<string, boolean>();
    const keepsAnchor = (tracked: TrackedReplica, salt: string): boolean => {
      const label = `${tracked.endpoint.id} ${salt}`;
      const held = anyKept.get(label) ?? this.keptTokens(tracked.endpoint.address, salt, order.parts, at) > 0;
      anyKept.set(label, held);
      return held;
    };
    const isBeingRead =
      isTracked &&
      all.some((tracked) => {
        const { salt } = this.saltFor(tracked, question);
        return (
          salt !== null &&
          !tracked.endpoint.isLeaving &&
          !this.replicaTracker.isSuspect(tracked) &&
          this.prefixCaches.isReading(tracked.endpoint.address, salt, affinityPart.id)
        );
      });
    let best: {
      tracked: TrackedReplica;
      costMs: number;
      readTokens: number;
      version: number | null;
      salt: string | null;
      isKept: boolean;
      isSoon: boolean;
      isPreferred: boolean;
      pullMs: number;
    } | null = null;
    const offset = Math.floor(this.clock.now()) % open.length;
    for (let step = 0; step < open.length; step += 1) {
      const tracked = open[(step + offset) % open.length] as TrackedReplica;
      const { version, salt } = this.saltFor(tracked, question);
      const rank = preferred.indexOf(tracked);
      const isKept = isTracked && salt !== null && keepsAnchor(tracked, salt);
      const isSoon =
        isTracked &&
        !isKept &&
        salt !== null &&
        this.prefixCaches.isReading(tracked.endpoint.address, salt, affinityPart.id);
      const hasHolder =
        isTracked &&
        !isKept &&
        !isSoon &&
        salt !== null &&
        all.some((other) => other !== tracked && this.replicaTracker.mayHandOver(other) && keepsAnchor(other, salt));
      const affinityTokens = isTracked ? order.parts.slice(0, at + 1).reduce((sum, part) => sum + part.tokens, 0) : 0;
      const readTokens = Math.max(0, order.tokensIn - (isKept || isSoon || hasHolder ? affinityTokens : 0));
      const crowdingMs = hasHolder
        ? this.replicaTracker.readMs(affinityTokens) * crowdingShare + pullMs(affinityTokens)
        : 0;
      const gainMs =
        rank === 0
          ? affinityBonusMs +
            (isTracked && !isKept && !isSoon && !hasHolder
              ? this.replicaTracker.readMs(affinityTokens) * crowdingShare
              : 0)
          : rank === 1
            ? secondChoiceBonusMs
            : 0;
      const costMs =
        this.replicaTracker.readMs(tracked.pendingTokens + tracked.othersTokens + readTokens) +
        tracked.running * runCostMs +
        crowdingMs +
        (isBeingRead && !isKept && !isSoon && !hasHolder ? readTwiceMs : 0) -
        gainMs +
        (this.replicaTracker.isSuspect(tracked) ? suspicionMs : 0) +
        this.errorPenaltyMs(tracked) +
        (named !== null && version !== null && version < named.version ? oldWeightsMs : 0);
      if (best === null || costMs < best.costMs)
        best = {
          tracked,
          costMs,
          readTokens,
          version,
          salt,
          isKept,
          isSoon,
          isPreferred: rank === 0,
          pullMs: hasHolder ? pullMs(affinityTokens) : 0,
        };
    }
    if (best === null) return null;
    const { tracked, salt } = best;
    if (!isTracked || salt === null)
      return {
        ...best,
        tracked,
        holder: null,
        store: null,
        affinityPart,
        expectedHit: null,
        secondExpectedHit: null,
        readsAll: true,
      };
    const { keeping, preferredStore } = this.storeFor(affinityPart, salt, view.routingTable.stores);
    const holders = best.isKept
      ? []
      : all
          .filter((other) => other !== tracked && this.replicaTracker.mayHandOver(other) && keepsAnchor(other, salt))
          .sort((a, b) => Number(this.replicaTracker.isSuspect(a)) - Number(this.replicaTracker.isSuspect(b)));
    const near =
      holders.find((other) => other.endpoint.zone === tracked.endpoint.zone && !this.replicaTracker.isSuspect(other)) ??
      holders[0];
    const guess = preferred.find((other) => other !== tracked && !this.replicaTracker.isSuspect(other));
    const holder =
      near?.endpoint.address ??
      keeping?.address ??
      (best.isKept
        ? null
        : (preferredStore?.address ?? (preferred[0] === tracked ? null : (guess?.endpoint.address ?? null))));
    const source = best.isSoon ? undefined : (near?.endpoint.address ?? keeping?.address);
    const expectedHit = best.isKept
      ? this.expectedHitOf(tracked.endpoint.address, salt, order.parts, at, null)
      : source === undefined
        ? null
        : this.expectedHitOf(source, salt, order.parts, at, pullMs);
    const secondExpectedHit =
      best.isKept && keeping !== null && holder === keeping.address
        ? this.expectedHitOf(keeping.address, salt, order.parts, at, pullMs)
        : null;
    const readsAll = expectedHit === null && !best.isSoon && (holder === null || holder === preferredStore?.address);
    return {
      ...best,
      tracked,
      holder,
      store: keeping === null && isWorthStoring(order.parts, at) ? (preferredStore?.address ?? null) : null,
      affinityPart,
      expectedHit,
      secondExpectedHit,
      readsAll,
    };
  };
}
