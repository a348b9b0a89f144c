/**
 * The replicas of all pools as this edge sees them, from the endpoint list, from other edges' notices and from its own
 * attempts.
 */
import { PrefillRates } from './prefillRates.js';
import { ReplicaHealth } from './replicaHealth.js';
import { trackedReplicas } from './trackedReplica.js';
import type { TrackedReplica } from './trackedReplica.js';
import { replicaEndpoints } from '@martenworks/core-types';
import type { EndpointListUpdate, Clock, PrefillNotice, WeightsUpdate } from '@martenworks/core-types';

const prefillNoticeTtlMs = 2_500;
const missingGraceMs = 4_000;

const maxTokenArrivals = 64;
const tokenArrivalWindowMs = 10_000;
const maxNoticeDelayMs = 150;

/** Addresses at which another incarnation of a replica came, and those that have none any more. */
export interface EndpointChanges {
  readonly changedAddresses: readonly string[];
  readonly vacatedAddresses: readonly string[];
}

/** What this edge knows of each replica: its endpoint and what runs there; `health` tells how far it is trusted. */
export class ReplicaTracker {
  private readonly replicas = new Map<string, TrackedReplica>();
  private readonly byPool = new Map<string, TrackedReplica[]>();
  private readonly announcedPrefills = new Map<string, { readonly replica: string; readonly tokens: number }>();

  /** Health of the tracked replicas, by the outcomes of this edge's attempts. */
  readonly health: ReplicaHealth;
  /** Prefill rates, by the times to first pieces that this edge saw. */
  readonly prefillRates = new PrefillRates();

  constructor(private readonly clock: Clock) {
    this.health = new ReplicaHealth(clock);
  }

  /** Takes changes of the endpoint list, or the whole list; tells what they change at addresses known before. */
  readonly applyEndpoints = ({ isWhole, put, gone }: EndpointListUpdate): EndpointChanges => {
    const before = this.incarnationsByAddress();
    const received = new Set(put.map((endpoint) => endpoint.id));
    for (const endpoint of put) {
      const known = this.replicas.get(endpoint.id);
      if (known === undefined) this.replicas.set(endpoint.id, trackedReplicas.of(endpoint));
      else Object.assign(known, { endpoint: replicaEndpoints.merge(endpoint, known.endpoint), doubtedAt: null });
    }
    for (const id of gone) this.remove(id);
    if (isWhole)
      for (const tracked of this.replicas.values()) if (!received.has(tracked.endpoint.id)) this.markMissing(tracked);
    this.groupByPool();
    const after = this.incarnationsByAddress();
    const previous = [...before];
    const hasNewIncarnation = ([address, ids]: [string, ReadonlySet<string>]): boolean =>
      [...(after.get(address) ?? [])].some((id) => !ids.has(id));
    return {
      changedAddresses: previous.filter(hasNewIncarnation).map(([address]) => address),
      vacatedAddresses: previous.flatMap(([address]) => (after.has(address) ? [] : [address])),
    };
  };

  private readonly groupByPool = (): void => {
    this.byPool.clear();
    for (const tracked of this.replicas.values())
      this.byPool.set(tracked.endpoint.pool, [...(this.byPool.get(tracked.endpoint.pool) ?? []), tracked]);
  };

  private readonly incarnationsByAddress = (): Map<string, Set<string>> => {
    const found = new Map<string, Set<string>>();
    for (const { endpoint } of this.replicas.values())
      found.set(endpoint.address, (found.get(endpoint.address) ?? new Set()).add(endpoint.id));
    return found;
  };

  /**
   * A whole list may be older than the one before, since it may come from another control node: what it lacks is
   * removed only if no update names it for four seconds.
   */
  private readonly markMissing = (tracked: TrackedReplica): void => {
    if (tracked.missingSince !== null) return;
    const at = this.clock.now();
    tracked.missingSince = at;
    this.clock.after(missingGraceMs, () => {
      if (tracked.missingSince !== at || tracked.isRemoved) return;
      this.remove(tracked.endpoint.id);
      this.groupByPool();
    });
  };

  private readonly remove = (id: string): void => {
    const tracked = this.replicas.get(id);
    if (tracked === undefined) return;
    this.replicas.delete(id);
    tracked.isRemoved = true;
    for (const listener of [...tracked.removalListeners]) listener();
  };

  /** A replica begins to change its weights and rests for `forMs` milliseconds, or has its new version. */
  readonly applyWeights = ({ id, model, version, forMs }: WeightsUpdate): void => {
    const tracked = this.replicas.get(id);
    if (tracked === undefined) return;
    tracked.loadingUntil = version === null ? this.clock.now() + forMs : 0;
    if (version !== null) this.recordWeights(tracked, model, version);
  };

  /** What other edges have replicas read; a note whose end never comes is forgotten. */
  readonly applyPrefillNotice = ({ id, replica, tokens }: PrefillNotice): void => {
    const known = this.announcedPrefills.get(id);
    if (known !== undefined) {
      this.announcedPrefills.delete(id);
      const tracked = this.replicas.get(known.replica);
      if (tracked !== undefined) tracked.otherEdgesTokens = Math.max(0, tracked.otherEdgesTokens - known.tokens);
    }
    const tracked = this.replicas.get(replica);
    if (tokens <= 0 || tracked === undefined) return;
    this.announcedPrefills.set(id, { replica, tokens });
    tracked.otherEdgesTokens += tokens;
    this.recordTokens(tracked, tokens);
    this.clock.after(prefillNoticeTtlMs, () => {
      if (this.announcedPrefills.has(id)) this.applyPrefillNotice({ id, replica, tokens: 0, salt: null, part: null });
    });
  };

  private readonly recordTokens = ({ tokenArrivals }: TrackedReplica, tokens: number): void => {
    const at = this.clock.now();
    tokenArrivals.push({ at, tokens });
    while (tokenArrivals.length > maxTokenArrivals || at - (tokenArrivals[0]?.at ?? at) > tokenArrivalWindowMs)
      tokenArrivals.shift();
  };

  /**
   * Tokens that came to the replica just after `sentAt`; other fronts' notes travel for a while, so some of them were
   * there before.
   */
  readonly tokensArrivedAfter = ({ tokenArrivals }: TrackedReplica, sentAt: number): number =>
    tokenArrivals.reduce(
      (sum, { at, tokens }) => (at >= sentAt && at <= sentAt + maxNoticeDelayMs ? sum + tokens : sum),
      0,
    );

  /** The address of the replica with the id; null where it isn't tracked. */
  readonly addressOf = (id: string): string | null => this.replicas.get(id)?.endpoint.address ?? null;

  /**
   * An answer or update shows that the replica runs at least this version of the model's weights; a lower one changes
   * nothing.
   */
  readonly recordWeights = (tracked: TrackedReplica, model: string, version: number): void => {
    if ((tracked.endpoint.weights[model] ?? 0) < version)
      tracked.endpoint = { ...tracked.endpoint, weights: { ...tracked.endpoint.weights, [model]: version } };
  };

  /** The tracked replicas of a pool, leaving ones included. */
  readonly inPool = (pool: string): readonly TrackedReplica[] => this.byPool.get(pool) ?? [];

  /** The tracked replicas of all pools. */
  readonly all = (): TrackedReplica[] => [...this.replicas.values()];

  /** An attempt began at the replica, with so many tokens to prefill. */
  readonly recordStart = (tracked: TrackedReplica, tokens: number): void => {
    tracked.running += 1;
    tracked.pendingTokens += tokens;
    this.recordTokens(tracked, tokens);
  };

  /** The replica has prefilled the prompt, or won't: the tokens aren't pending any more. */
  readonly recordPrefilled = (tracked: TrackedReplica, tokens: number): void => {
    tracked.pendingTokens = Math.max(0, tracked.pendingTokens - tokens);
  };

  /** An attempt at the replica is over, however it ended. */
  readonly recordEnd = (tracked: TrackedReplica): void => {
    tracked.running = Math.max(0, tracked.running - 1);
  };
}
