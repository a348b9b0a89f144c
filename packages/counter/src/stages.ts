import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { deny, digests, keys, pause, prompts } from '@martenworks/envelope';
import type { Contention, Deny, DenyCode, PoolDemands, Ports, ReplicaRecord } from '@martenworks/envelope';
import { backWire } from '@martenworks/courier';
import type { Piece, ShotFault } from '@martenworks/courier';
import type { Env } from '@martenworks/franking';
import { place, weigh } from '@martenworks/pigeonhole';
import type { Placement, PlaceQuestion } from '@martenworks/pigeonhole';
import type { Book } from './book.js';
import type { Claims, ShelfState } from './claims.js';
import { ExtraBudget, RateShare } from './budget.js';
import type { Freshness } from './freshness.js';
import type { LaneView, TenantView } from './layoutView.js';
import { Parcel } from './parcel.js';
import type { ShotOn } from './parcel.js';
import { Stage, Tray } from './pipe.js';
import type { Tally } from './tally.js';
import { PullTracks } from './tracks.js';
import type { Tracks } from './tracks.js';

const forecastSafety = 0.5;
const urgentHeadroom = 0.5;
const pullSlackMs = 100;
const extraShotLimit = 2;
const callersFaults = new Set([400, 413, 414, 415, 422]);
const busyStatuses = new Set([429, 503]);
const longestHorizonMs = 600_000;
const largestRetryAfterSeconds = 30;

export interface WhyLine {
  readonly replica: string;
  readonly state: string;
  readonly quarter: string;
  readonly keptTokens: number;
  readonly mayBeNamed: boolean;
  readonly running: number;
  readonly holder: string | null;
  readonly prefillTokens: number | null;
  readonly costMs: number | null;
}

interface Standing {
  readonly lane: LaneView;
  readonly tenant: TenantView;
}

interface Waiting {
  readonly tray: Tray<Parcel>;
  readonly byTier: Map<string, number>;
}

const scopeOf = (parcel: Parcel): string | null => (parcel.tenant?.tenant.isolated === true ? parcel.tenant.name : null);

export class Stages {
  readonly live = new Set<Parcel>();
  private readonly queues = new Map<string, Waiting>();
  private readonly budgets = new Map<string, ExtraBudget>();
  private readonly rates = new Map<number, RateShare>();
  private readonly pulls: PullTracks;
  private readonly admitStage: Stage<Parcel>;
  private readonly matchStage: Stage<Parcel>;
  isDraining = false;
  contention: Contention = {};

  constructor(
    private readonly env: Env,
    private readonly ports: Ports,
    private readonly book: Book,
    private readonly tracks: Tracks,
    private readonly freshness: Freshness,
    private readonly tally: Tally,
    private readonly claims: Claims,
  ) {
    this.pulls = new PullTracks(ports.clock);
    const arrival = (parcel: Parcel): number => parcel.arrivedAt;
    const crowded = (parcel: Parcel): void => this.refuse(parcel, 'no_capacity', 'the stage is full');
    this.admitStage = new Stage(env.queueLimit, arrival, this.admit, crowded);
    this.matchStage = new Stage(env.queueLimit, arrival, this.match, crowded);
  }

  readonly enter = (parcel: Parcel): void => {
    this.live.add(parcel);
    parcel.whenEnded(() => this.live.delete(parcel));
    const left = (): void => {
      if (parcel.endReported) return;
      this.tally.add('caller_left');
      this.unqueue(parcel);
      parcel.answer(deny.of('caller_left', 'unknown', 'the caller left'));
      parcel.end();
    };
    if (parcel.order.signal.aborted) return left();
    parcel.order.signal.addEventListener('abort', left, { once: true });
    this.admitStage.enter(parcel);
  };

  private readonly retryAfter = (code: DenyCode, parcel: Parcel): number | undefined => {
    if (code !== 'no_capacity' && code !== 'horizon_passed') return undefined;
    if (parcel.comeBackSeconds !== null) return Math.min(largestRetryAfterSeconds, Math.max(1, parcel.comeBackSeconds));
    const queue = parcel.lane === null ? undefined : this.queues.get(parcel.lane.poolName);
    const waitMs = queue?.tray.forecastMs(parcel.tenant?.name ?? '', this.ports.clock.now()) ?? 0;
    return Math.min(largestRetryAfterSeconds, Math.max(1, Math.ceil(waitMs / 1_000 + this.ports.random.fraction())));
  };

  readonly refuse = (parcel: Parcel, code: DenyCode, detail: string): void => {
    this.unqueue(parcel);
    const isProved = !parcel.mayHaveRun && (parcel.order.idempotencyKey === null || parcel.claim !== null);
    const ran = isProved ? 'no' : 'unknown';
    const denied: Deny = deny.of(code, ran, detail, this.retryAfter(code, parcel));
    if (!parcel.isAnswered) {
      this.tally.add(`denied_${code}`);
      this.ports.log.info('denied', { requestId: parcel.order.requestId, tenant: parcel.tenant?.name ?? null, code, ran, detail, retryAfterSeconds: denied.retryAfterSeconds });
    }
    if (parcel.isRelaying) parcel.cut(detail);
    else {
      parcel.answer(denied);
      parcel.end();
    }
  };

  private readonly admit = (parcel: Parcel): void => {
    if (parcel.endReported) return;
    if (this.isDraining) return this.refuse(parcel, 'draining', 'this counter is closing');
    const view = this.book.view();
    if (view === null || !this.freshness.isFresh()) return this.refuse(parcel, 'not_fresh', 'this counter has not heard a majority of postmasters lately');
    if (parcel.order.key === null) return this.refuse(parcel, 'unknown_key', 'no bearer key was given');
    parcel.keyHash = keys.hash(parcel.order.key);
    const grant = Object.hasOwn(view.keys, parcel.keyHash) ? view.keys[parcel.keyHash] : undefined;
    const tenant = grant === undefined ? undefined : view.tenants.get(grant.tenant);
    if (tenant === undefined) return this.refuse(parcel, 'unknown_key', 'the key is not granted');
    parcel.tenant = tenant;
    this.matchStage.enter(parcel);
  };

  private readonly match = (parcel: Parcel): void => {
    if (parcel.endReported) return;
    const view = this.book.view();
    const { tenant } = parcel;
    if (view === null || tenant === null) return this.refuse(parcel, 'not_fresh', 'no layout is held');
    const laneName = parcel.order.body['model'];
    if (typeof laneName !== 'string') return this.refuse(parcel, 'bad_request', 'model must name a lane');
    const lane = view.lanes.get(laneName);
    if (lane === undefined) return this.refuse(parcel, 'unknown_lane', 'no such lane');
    if (!tenant.lanes.has(lane.index)) return this.refuse(parcel, 'lane_not_granted', 'the key\'s holder may not use this lane');
    const prompt = backWire.promptOf(parcel.order.path, parcel.order.body);
    if (prompt === null) return this.refuse(parcel, 'bad_request', 'the prompt must be text');
    if (!this.isWithinRate(parcel)) return this.refuse(parcel, 'over_share', 'the tenant is over its rate');
    parcel.lane = lane;
    parcel.laneName = laneName;
    parcel.isOnce = lane.repeat === 'once';
    parcel.promptTokens = prompts.tokens(prompt);
    parcel.blocks = prompts.blocks(prompt);
    const horizonMs = Math.min(longestHorizonMs, parcel.order.horizonMs ?? tenant.tier.horizonMs);
    parcel.horizonAt = parcel.arrivedAt + horizonMs;
    const clockEvent = this.ports.clock.after(Math.max(0, parcel.horizonAt - this.ports.clock.now()), () => {
      if (!parcel.isAnswered) this.refuse(parcel, 'horizon_passed', 'the horizon passed before a first piece came');
    });
    parcel.whenEnded(clockEvent.cancel);
    if (parcel.order.idempotencyKey === null) this.queue(parcel);
    else void this.claimThenQueue(parcel, parcel.order.idempotencyKey);
  };

  private readonly claimThenQueue = async (parcel: Parcel, idempotencyKey: string): Promise<void> => {
    const { order, tenant } = parcel;
    const key = digests.of([tenant?.name, idempotencyKey]);
    const outcome = await this.claims.take(key, digests.of([order.path, { ...order.body, stream: null }]), order.requestId);
    this.tally.add(`claims_${outcome.k.replace(' ', '_')}`);
    if (outcome.k === 'claimed') {
      parcel.claim = outcome.claim;
      const note = (): void => this.claims.ended(outcome.claim, this.shelfStateOf(parcel));
      if (parcel.endReported) return note();
      parcel.whenEnded(note);
      return this.queue(parcel);
    }
    if (parcel.endReported) return;
    switch (outcome.k) {
      case 'replay':
        parcel.mayHaveRun = true;
        parcel.isRelaying = true;
        return parcel.answer({ kind: 'stream', requestId: order.requestId, pieces: this.replay(parcel, outcome.datas) });
      case 'running':
        parcel.mayHaveRun = true;
        return this.refuse(parcel, 'in_progress', 'this Idempotency-Key is being run');
      case 'unknown':
        parcel.mayHaveRun = true;
        return this.refuse(parcel, 'outcome_unknown', 'this Idempotency-Key was claimed, and what came of it is not known');
      case 'reused':
        return this.refuse(parcel, 'key_reused', 'this Idempotency-Key was used for another request');
      case 'no majority':
        return this.refuse(parcel, 'no_claim', 'no majority of postmasters took the claim');
    }
  };

  private readonly shelfStateOf = (parcel: Parcel): ShelfState => {
    if (parcel.isWhole) return { k: 'done', datas: parcel.keptDatas };
    return parcel.mayHaveRun ? { k: 'unknown' } : { k: 'not run' };
  };

  private readonly replay = async function* (parcel: Parcel, datas: readonly string[]): AsyncGenerator<Piece> {
    try {
      for (const data of datas) yield { kind: 'piece', data };
      yield { kind: 'done' };
    } finally {
      parcel.end();
    }
  };

  private readonly isWithinRate = (parcel: Parcel): boolean => {
    const { tenant } = parcel;
    if (tenant === null || tenant.tenant.ratePerSecond === null) return true;
    const perSecond = tenant.tenant.ratePerSecond / this.env.fronts;
    const held = this.rates.get(tenant.index);
    const rate = held !== undefined && held.perSecond === perSecond ? held : new RateShare(perSecond, this.ports.clock.now());
    this.rates.set(tenant.index, rate);
    return rate.take(this.ports.clock.now());
  };

  private readonly queueOf = (poolName: string): Waiting => {
    const held = this.queues.get(poolName);
    if (held !== undefined) return held;
    const queue: Waiting = { tray: new Tray(this.env.queueLimit), byTier: new Map() };
    this.queues.set(poolName, queue);
    return queue;
  };

  private readonly standing = (parcel: Parcel): Result<Standing, readonly [DenyCode, string]> => {
    const view = this.book.view();
    const grant = view !== null && Object.hasOwn(view.keys, parcel.keyHash) ? view.keys[parcel.keyHash] : undefined;
    const tenant = grant?.tenant === parcel.tenant?.name ? view?.tenants.get(grant?.tenant ?? '') : undefined;
    if (view === null || tenant === undefined) return err(['key_revoked', 'the key was revoked']);
    const lane = view.lanes.get(parcel.laneName);
    if (lane === undefined) return err(['unknown_lane', 'the lane was taken away']);
    if (!tenant.lanes.has(lane.index)) return err(['lane_not_granted', 'the lane was taken from the key\'s holder']);
    return ok({ lane, tenant });
  };

  private readonly isStanding = (parcel: Parcel): boolean =>
    this.standing(parcel).match(
      ({ lane, tenant }) => {
        parcel.lane = lane;
        parcel.tenant = tenant;
        parcel.isOnce ||= lane.repeat === 'once';
        return true;
      },
      ([code, detail]) => {
        this.refuse(parcel, code, detail);
        return false;
      },
    );

  private readonly queue = (parcel: Parcel): void => {
    if (!this.isStanding(parcel)) return;
    const { lane, tenant } = parcel;
    if (lane === null || tenant === null) return;
    if (this.book.inPool(lane.poolName).length === 0) return this.refuse(parcel, 'no_capacity', 'the pool has no ready replica');
    const queue = this.queueOf(lane.poolName);
    const ofTier = queue.byTier.get(tenant.tierName) ?? 0;
    if (ofTier >= Math.max(1, Math.floor(tenant.tier.share * this.env.queueLimit))) return this.refuse(parcel, 'over_share', 'the tier\'s share of the queue is taken');
    const now = this.ports.clock.now();
    if (queue.tray.forecastMs(tenant.name, now) > (parcel.horizonAt - now) * forecastSafety) return this.refuse(parcel, 'no_capacity', 'the wait would pass the horizon');
    queue.byTier.set(tenant.tierName, ofTier + 1);
    const displaced = queue.tray.put(tenant.name, tenant.tier.rank, parcel, now);
    if (displaced !== null) {
      this.forget(queue, displaced);
      this.refuse(displaced, 'no_capacity', 'the queue is full');
    }
    this.pump(lane.poolName);
  };

  private readonly forget = (queue: Waiting, parcel: Parcel): void => {
    if (parcel.tenant === null) return;
    const { tierName } = parcel.tenant;
    queue.byTier.set(tierName, Math.max(0, (queue.byTier.get(tierName) ?? 0) - 1));
  };

  private readonly unqueue = (parcel: Parcel): boolean => {
    if (parcel.lane === null) return false;
    const queue = this.queues.get(parcel.lane.poolName);
    if (queue?.tray.remove(parcel) !== true) return false;
    this.forget(queue, parcel);
    return true;
  };

  readonly sweep = (): void => {
    if (this.freshness.isFresh()) return;
    for (const queue of this.queues.values()) {
      for (const parcel of queue.tray.items()) this.refuse(parcel, 'not_fresh', 'this counter lost touch with the postmasters while the request waited');
    }
  };

  readonly pumpAll = (): void => {
    const now = this.ports.clock.now();
    for (const queue of this.queues.values()) {
      for (const parcel of queue.tray.hopeless(now, (one) => one.horizonAt)) this.refuse(parcel, 'no_capacity', 'the wait would pass the horizon');
    }
    for (const poolName of this.queues.keys()) this.pump(poolName);
  };

  readonly recheck = (): void => {
    const view = this.book.view();
    if (view === null) return;
    for (const parcel of [...this.live]) {
      if (parcel.tenant === null) continue;
      const grant = Object.hasOwn(view.keys, parcel.keyHash) ? view.keys[parcel.keyHash] : undefined;
      if (grant?.tenant !== parcel.tenant.name || !view.tenants.has(parcel.tenant.name)) {
        this.refuse(parcel, 'key_revoked', 'the key was revoked');
        continue;
      }
      if (parcel.shotOn !== null) {
        parcel.isOnce ||= view.lanes.get(parcel.laneName)?.repeat === 'once';
        const record = this.book.record(parcel.shotOn.replica);
        if (record !== undefined && (record.incarnation > parcel.shotOn.incarnation || record.state === 'gone')) parcel.shotOn.lost();
        continue;
      }
      if (parcel.lane === null || parcel.isRelaying) continue;
      const { lane, tenant } = parcel;
      const isMoved = this.standing(parcel).match(
        (next) => next.lane.poolName !== lane.poolName || next.tenant.tierName !== tenant.tierName || next.tenant.tier.rank !== tenant.tier.rank,
        () => false,
      );
      const isWaiting = isMoved && this.unqueue(parcel);
      if (this.isStanding(parcel) && isWaiting) this.queue(parcel);
    }
    this.pumpAll();
  };

  private readonly placement = (parcel: Parcel): Placement | null => {
    const question = this.question(parcel);
    return question === null ? null : place(this.book.index, question);
  };

  private readonly question = (parcel: Parcel): PlaceQuestion | null => {
    const view = this.book.view();
    const { lane, tenant } = parcel;
    if (view === null || lane === null || tenant === null) return null;
    const pool = view.pools.get(lane.poolName);
    if (pool === undefined) return null;
    const scope = scopeOf(parcel);
    const now = this.ports.clock.now();
    const ready = this.book.inPool(lane.poolName).filter((record) => !parcel.avoided.has(record.name) && this.book.quarters.mayRun(record, scope, now));
    const sound = ready.filter((record) => !this.tracks.isSuspect(record.name));
    const headroom = 1 + urgentHeadroom * view.urgencyOf(tenant.tier.rank);
    const free = this.freeOf(sound.length > 0 ? sound : ready, lane.poolName, pool.slots, headroom);
    return {
      pool,
      blocks: parcel.blocks,
      promptTokens: parcel.promptTokens,
      isolatedTenant: scope,
      candidates: free.map((record) => ({ record, running: this.tracks.running(record.name), pendingTokens: this.tracks.pendingTokens(record.name) })),
      holders: this.book.holdersIn(lane.poolName, pool.store).filter((record) => this.book.quarters.mayName(record, scope)),
      now,
      zone: this.env.zone,
      useIndex: this.env.index,
      tieBreak: this.ports.random.fraction(),
      pullExcessMs: this.pulls.excessMs,
    };
  };

  private readonly freeOf = (records: readonly ReplicaRecord[], poolName: string, poolSlots: number, headroom: number): ReplicaRecord[] => {
    const slotsOf = (record: ReplicaRecord): number => Math.floor((record.slots ?? poolSlots) * headroom);
    const free = records.filter((record) => this.tracks.running(record.name) < slotsOf(record));
    const [contenders, calmRunning] = this.contention[poolName] ?? [0, 0];
    if (contenders === 0) return free;
    const all = this.book.inPool(poolName);
    const total = all.reduce((sum, record) => sum + slotsOf(record), 0);
    const own = all.reduce((sum, record) => sum + this.tracks.own(record.name), 0);
    if (own >= Math.max(1, Math.ceil((total - calmRunning) / (contenders + 1)))) return [];
    return free.length > 0 ? free : records.filter((record) => this.tracks.own(record.name) < slotsOf(record));
  };

  readonly demands = (): PoolDemands =>
    Object.fromEntries(
      [...this.queues].map(([poolName, queue]) => [poolName, [queue.tray.size(), this.book.inPool(poolName).reduce((sum, record) => sum + this.tracks.own(record.name), 0)] as const]),
    );

  private readonly pump = (poolName: string): void => {
    const queue = this.queueOf(poolName);
    while (this.freshness.isFresh() && queue.tray.heads().some((parcel) => this.moveOn(queue, parcel, poolName)));
  };

  private readonly moveOn = (queue: Waiting, parcel: Parcel, poolName: string): boolean => {
    const placed = this.placement(parcel);
    if (placed === null) {
      if (this.book.inPool(poolName).some((record) => !parcel.avoided.has(record.name))) return false;
      this.refuse(parcel, parcel.shots > 0 && parcel.comeBackSeconds === null ? 'replica_failed' : 'no_capacity', 'the pool has no ready replica left for this request');
      return true;
    }
    queue.tray.grant(parcel, this.ports.clock.now());
    this.forget(queue, parcel);
    void this.send(parcel, placed);
    return true;
  };

  private readonly budgetOf = (poolName: string): ExtraBudget => {
    const allowance = (this.book.view()?.pools.get(poolName)?.extraAllowance ?? 0) / this.env.fronts;
    const held = this.budgets.get(poolName);
    if (held?.allowance === allowance) return held;
    const budget = new ExtraBudget(allowance);
    this.budgets.set(poolName, budget);
    return budget;
  };

  private readonly isSendable = (parcel: Parcel, placed: Placement, shot: Standing, weights: string): boolean => {
    const standing = this.standing(parcel);
    const view = this.book.view();
    if (view === null || standing.isErr() || parcel.endReported) return false;
    const { lane, tenant } = standing.value;
    const now = this.ports.clock.now();
    const isAsPlaced = lane.poolName === shot.lane.poolName && tenant.tenant.isolated === shot.tenant.tenant.isolated && view.pools.get(lane.poolName)?.weights === weights;
    if (!isAsPlaced || !this.freshness.isFresh() || now >= parcel.horizonAt) return false;
    const scope = tenant.tenant.isolated ? tenant.name : null;
    const isThere = (wanted: ReplicaRecord, among: readonly ReplicaRecord[]): boolean => among.some((record) => record.name === wanted.name && record.incarnation === wanted.incarnation);
    if (!isThere(placed.record, this.book.inPool(lane.poolName)) || !this.book.quarters.mayRun(placed.record, scope, now)) return false;
    const { holder } = placed;
    if (holder === null) return true;
    const held = this.book.record(holder.name);
    return held !== undefined && isThere(holder, this.book.holdersIn(lane.poolName, view.pools.get(lane.poolName)?.store ?? null)) && this.book.quarters.mayName(held, scope);
  };

  private readonly again = (parcel: Parcel, code: DenyCode, detail: string): void => {
    if (parcel.endReported || !this.isStanding(parcel) || parcel.lane === null) return;
    const mayRepeat = !parcel.mayHaveRun || !parcel.isOnce;
    if (!mayRepeat || this.isDraining || parcel.extraShots >= extraShotLimit) return this.refuse(parcel, code, detail);
    if (!this.budgetOf(parcel.lane.poolName).take()) return this.refuse(parcel, code, `${detail}; no extra shot is left`);
    parcel.extraShots += 1;
    this.tally.add('shots_extra');
    this.queue(parcel);
  };

  private readonly send = async (parcel: Parcel, placed: Placement): Promise<void> => {
    const { lane, tenant, order } = parcel;
    const view = this.book.view();
    if (lane === null || tenant === null || view === null) return;
    const weights = view.pools.get(lane.poolName)?.weights ?? '';
    const replica = placed.record.name;
    parcel.shots += 1;
    if (parcel.shots === 1) {
      this.budgetOf(lane.poolName).firstShot();
      this.tally.add('shots_first');
    }
    this.tally.add('prompt_tokens', parcel.promptTokens);
    this.tally.add('prompt_tokens_local', placed.localTokens);
    this.tally.add('prompt_tokens_pulled', placed.pulledTokens);
    this.tally.add('prompt_tokens_prefilled', placed.prefilledTokens);
    const mark = this.tracks.began(replica, placed.prefilledTokens, placed.costMs);
    const shotQuit = new AbortController();
    const quit = (): void => shotQuit.abort();
    parcel.quit.signal.addEventListener('abort', quit, { once: true });
    let isFirstPieceIn = false;
    const release = (): void => {
      parcel.quit.signal.removeEventListener('abort', quit);
      if (!isFirstPieceIn) this.tracks.given(replica, mark, placed.prefilledTokens);
      this.tracks.ended(replica);
      this.finished(lane.poolName);
    };
    const dropped = (): void => {
      parcel.shotOn = null;
      release();
      shotQuit.abort();
      parcel.avoided.add(replica);
    };
    const failed = (code: DenyCode, detail: string): void => {
      if (parcel.shotOn !== shotOn) return;
      this.tracks.failed(replica);
      dropped();
      this.ports.log.warn('a shot failed', { requestId: order.requestId, replica, detail, shot: parcel.shots, mayHaveRun: parcel.mayHaveRun });
      this.again(parcel, code, detail);
    };
    const turnedAway = ({ status, cause, retryAfterSeconds }: ShotFault): void => {
      if (status !== null && callersFaults.has(status)) {
        dropped();
        return this.refuse(parcel, 'bad_request', `the replica turned it away: ${cause}`);
      }
      if (status === null || !busyStatuses.has(status) || retryAfterSeconds === null) return failed('replica_failed', cause);
      this.tracks.rests(replica, retryAfterSeconds * 1_000);
      parcel.comeBackSeconds = retryAfterSeconds;
      dropped();
      this.again(parcel, 'no_capacity', `the replica is full: ${cause}`);
    };
    const sentAt = this.ports.clock.now();
    const shotOn: ShotOn = {
      replica,
      incarnation: placed.record.incarnation,
      lost: () => {
        if (parcel.isRelaying) return parcel.cut('the replica is gone');
        if (isOut) return failed('replica_failed', 'the replica is gone');
        withdrawn();
      },
    };
    parcel.shotOn = shotOn;
    const wasSent = parcel.mayHaveRun;
    let isOut = false;
    const withdrawn = (): void => {
      parcel.shotOn = null;
      release();
      shotQuit.abort();
      if (parcel.endReported) return;
      if (!this.freshness.isFresh()) return this.refuse(parcel, 'not_fresh', 'this counter lost touch with the postmasters before the shot');
      this.queue(parcel);
    };
    const mayLeave = (): boolean => {
      isOut = parcel.shotOn === shotOn && this.isSendable(parcel, placed, { lane, tenant }, weights);
      parcel.mayHaveRun ||= isOut;
      return isOut;
    };
    const receipt = await backWire.send(this.ports.carriage, {
      requestId: order.requestId,
      replica: placed.record.address,
      path: order.path,
      body: order.body,
      weights,
      tenant: tenant.name,
      isIsolated: tenant.tenant.isolated,
      priority: tenant.tier.rank,
      cacheFrom: placed.holder?.address ?? null,
      signal: shotQuit.signal,
      gate: mayLeave,
    });
    if (parcel.shotOn !== shotOn) return;
    if (receipt.isErr()) {
      if (receipt.error.isUnsent) parcel.mayHaveRun = wasSent;
      if (parcel.endReported) return release();
      if (receipt.error.cause === 'GATED') return withdrawn();
      return turnedAway(receipt.error);
    }
    const first = await receipt.value.next();
    if (parcel.shotOn !== shotOn) return;
    if (parcel.endReported) {
      release();
      return;
    }
    if (first.done === true) return failed('cut_stream', 'the stream was empty');
    if (first.value.kind !== 'piece') {
      const cause = first.value.kind === 'done' ? 'the stream held no piece' : first.value.cause;
      return failed(first.value.kind === 'wrong' ? 'wrong_weights' : 'cut_stream', cause);
    }
    this.tracks.firstPiece(replica, mark, placed.prefilledTokens);
    isFirstPieceIn = true;
    parcel.isRelaying = true;
    this.tally.add(`first_pieces_tier_${tenant.tierName}`);
    const firstAt = this.ports.clock.now();
    if (placed.holder !== null) this.pulls.seen(placed.holder.name, replica, firstAt - sentAt - placed.costMs - pullSlackMs);
    parcel.whenEnded(() =>
      this.ports.log.info('request', {
        requestId: order.requestId,
        tenant: tenant.name,
        tier: tenant.tierName,
        lane: lane.name,
        replica,
        holder: placed.holder?.name ?? null,
        promptTokens: parcel.promptTokens,
        keptTokens: placed.localTokens,
        pulledTokens: placed.pulledTokens,
        shots: parcel.shots,
        isWhole: parcel.isWhole,
        firstMs: Math.round(firstAt - parcel.arrivedAt),
        totalMs: Math.round(this.ports.clock.now() - parcel.arrivedAt),
      }),
    );
    parcel.answer({ kind: 'stream', requestId: order.requestId, pieces: this.relay(parcel, replica, first.value, receipt.value, release) });
  };

  private readonly nextPiece = (parcel: Parcel, rest: AsyncGenerator<Piece>, stopped: Promise<Piece>): Promise<Piece> => {
    if (parcel.cutCause !== null) return Promise.resolve({ kind: 'cut', cause: parcel.cutCause });
    const next = rest.next().then((step): Piece => (step.done === true ? { kind: 'cut', cause: 'the stream ended without its end marker' } : step.value));
    return pause.within<Piece>(this.ports.clock, this.env.stallMs, Promise.race([next, stopped]), () => ({ kind: 'cut', cause: 'the replica fell silent' }));
  };

  private readonly relay = async function* (this: Stages, parcel: Parcel, replica: string, first: Piece, rest: AsyncGenerator<Piece>, release: () => void): AsyncGenerator<Piece> {
    const stopped = new Promise<Piece>((settle) => {
      parcel.quit.signal.addEventListener('abort', () => settle({ kind: 'cut', cause: parcel.cutCause ?? 'the stream was given up' }), { once: true });
    });
    const keep = (piece: Piece): void => {
      if (parcel.claim !== null && piece.kind === 'piece') parcel.keptDatas.push(piece.data);
    };
    try {
      keep(first);
      yield first;
      for (;;) {
        const piece = await this.nextPiece(parcel, rest, stopped);
        keep(piece);
        if (piece.kind === 'piece') {
          yield piece;
          continue;
        }
        if (piece.kind === 'done') {
          this.tally.add('finished');
          parcel.isWhole = true;
          yield piece;
          return;
        }
        this.tally.add('cut');
        if (parcel.cutCause === null && !parcel.endReported) this.tracks.failed(replica);
        yield { kind: 'cut', cause: piece.cause };
        return;
      }
    } finally {
      release();
      parcel.end();
      void rest.return(undefined);
    }
  };

  private readonly finished = (poolName: string): void => {
    queueMicrotask(() => this.pump(poolName));
  };

  readonly why = (laneName: string, tenantName: string, prompt: string): WhyLine[] | null => {
    const view = this.book.view();
    const lane = view?.lanes.get(laneName);
    const tenant = view?.tenants.get(tenantName);
    if (view === null || lane === undefined || tenant === undefined) return null;
    const order = { requestId: 'why', key: null, path: '/v1/completions' as const, body: {}, horizonMs: null, idempotencyKey: null, signal: new AbortController().signal };
    const parcel = new Parcel(order, this.ports.clock.now(), () => {});
    Object.assign(parcel, { tenant, lane, blocks: prompts.blocks(prompt), promptTokens: prompts.tokens(prompt) });
    const question = this.question(parcel);
    const weighed = question === null ? [] : weigh(this.book.index, question);
    const roles = new Map(this.book.quarters.roles().map(({ replica, role }) => [replica, role]));
    return this.book
      .records()
      .filter((record) => record.pool === lane.poolName)
      .map((record) => {
        const found = weighed.find((one) => one.record.name === record.name);
        const kept = this.book.index.kept(record.name, parcel.blocks, scopeOf(parcel), this.ports.clock.now());
        return {
          replica: record.name,
          state: record.state,
          quarter: roles.get(record.name) ?? 'none',
          keptTokens: kept.blockCount * prompts.blockTokens,
          mayBeNamed: question?.holders.some((holder) => holder.name === record.name) === true && kept.isNameable,
          running: this.tracks.running(record.name),
          holder: found?.holder?.name ?? null,
          prefillTokens: found?.prefilledTokens ?? null,
          costMs: found === undefined ? null : Math.round(found.costMs * 10) / 10,
        };
      })
      .sort((a, b) => (a.costMs ?? Number.POSITIVE_INFINITY) - (b.costMs ?? Number.POSITIVE_INFINITY));
  };

  readonly depths = (): Record<string, { waiting: number; byTier: Record<string, number> }> =>
    Object.fromEntries([...this.queues].map(([poolName, queue]) => [poolName, { waiting: queue.tray.size(), byTier: Object.fromEntries(queue.byTier) }]));

  readonly budgetsLeft = (): Record<string, number> => Object.fromEntries([...this.budgets].map(([poolName, budget]) => [poolName, budget.left()]));
}
