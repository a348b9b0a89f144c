/**
 * Tracks the replicas of all pools by the endpoint list, by other edges' prefill notices and by this edge's own attempts.
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

/** Addresses where a new replica incarnation appeared, and addresses that no longer have any replica. */
export interface EndpointChanges {
  readonly changedAddresses: readonly string[];
  readonly vacatedAddresses: readonly string[];
}

/** Tracks each replica's endpoint, load, health and prefill rate. */
export class ReplicaTracker {
  private readonly replicas = new Map<string, TrackedReplica>();
  private readonly byPool = new Map<string, TrackedReplica[]>();
  private readonly announcedPrefills = new Map<string, { readonly replica: string; readonly tokens: number }>();

  /** Suspicion, backoff and error rates, by the outcomes of this edge's attempts. */
  readonly health: ReplicaHealth;
  /** Estimated prefill rates, by the times to the first response chunk. */
  readonly prefillRates = new PrefillRates();

  constructor(private readonly clock: Clock) {
    this.health = new ReplicaHealth(clock);
  }

  /** Applies changes of the endpoint list, or a complete list; returns the changes at addresses known before. */
  readonly applyEndpoints = ({ isWhole, put, gone }: EndpointListUpdate): EndpointChanges => {
    const before = this.incarnationsByAddress();
    const received = new Set(put.map((endpoint) => endpoint.id));
    for (const endpoint of put) {
      const known = this.replicas.get(endpoint.id);
      if (known === undefined) this.replicas.set(endpoint.id, trackedReplicas.of(endpoint));
      else Object.assign(known, { endpoint: replicaEndpoints.merge(endpoint, known.endpoint), missingSince: null });
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
   * A complete list may be older than the previous one, since it may come from another control node. A replica missing
   * from it is removed only if no update names it for four seconds.
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

  /** Applies a weights update: the replica loads weights for `forMs` milliseconds, or has loaded the given version. */
  readonly applyWeights = ({ id, model, version, forMs }: WeightsUpdate): void => {
    const tracked = this.replicas.get(id);
    if (tracked === undefined) return;
    tracked.loadingUntil = version === null ? this.clock.now() + forMs : 0;
    if (version !== null) this.recordWeights(tracked, model, version);
  };

  /** Applies another edge's prefill notice; one whose end is never reported expires. */
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
   * Tokens recorded for the replica shortly after `sentAt`. Notices of other edges arrive with a delay, so that some of
   * these prefills were queued there earlier.
   */
  readonly tokensArrivedAfter = ({ tokenArrivals }: TrackedReplica, sentAt: number): number =>
    tokenArrivals.reduce(
      (sum, { at, tokens }) => (at >= sentAt && at <= sentAt + maxNoticeDelayMs ? sum + tokens : sum),
      0,
    );

  /** The address of the replica with this id; null where it isn't tracked. */
  readonly addressOf = (id: string): string | null => this.replicas.get(id)?.endpoint.address ?? null;

  /**
   * Records that the replica runs at least this version of the model's weights; a version below the known one changes
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

  /** Records the start of an attempt at the replica, with `tokens` tokens to prefill. */
  readonly recordStart = (tracked: TrackedReplica, tokens: number): void => {
    tracked.running += 1;
    tracked.pendingTokens += tokens;
    this.recordTokens(tracked, tokens);
  };

  /** Records that the prompt is prefilled, or won't be: its tokens are no longer pending. */
  readonly recordPrefilled = (tracked: TrackedReplica, tokens: number): void => {
    tracked.pendingTokens = Math.max(0, tracked.pendingTokens - tokens);
  };

  /** Records the end of an attempt at the replica, whatever its outcome. */
  readonly recordEnd = (tracked: TrackedReplica): void => {
    tracked.running = Math.max(0, tracked.running - 1);
  };
}
