import type { DenyCode, ReplicaRecord } from '@martenworks/core-types';
import { backWire } from '@martenworks/upstream';
import type { Piece, ShotFault } from '@martenworks/upstream';
import type { Placement } from '@martenworks/prefix-index';
import type { Bench } from './bench.js';
import { ExtraBudget } from './budget.js';
import type { Denying } from './denying.js';
import { scopes } from './parcel.js';
import type { Parcel, ShotOn } from './parcel.js';
import type { Placing } from './placing.js';
import type { Relaying } from './relaying.js';
import { standings } from './standing.js';
import type { Standing } from './standing.js';

const pullSlackMs = 100;
const extraShotLimit = 2;
const callersFaults = new Set([400, 413, 414, 415, 422]);
const busyStatuses = new Set([429, 503]);

export class Sending {
  private readonly budgets = new Map<string, ExtraBudget>();

  constructor(
    private readonly bench: Bench,
    private readonly denying: Denying,
    private readonly relaying: Relaying,
    private readonly placing: () => Placing,
    private readonly isDraining: () => boolean,
  ) {}

  private readonly budgetOf = (poolName: string): ExtraBudget => {
    const allowance = (this.bench.book.view()?.pools.get(poolName)?.extraAllowance ?? 0) / this.bench.env.fronts;
    const held = this.budgets.get(poolName);
    if (held?.allowance === allowance) return held;
    const budget = new ExtraBudget(allowance);
    this.budgets.set(poolName, budget);
    return budget;
  };

  readonly budgetsLeft = (): Record<string, number> =>
    Object.fromEntries([...this.budgets].map(([poolName, budget]) => [poolName, budget.left()]));

  private readonly isSendable = (parcel: Parcel, placed: Placement, shot: Standing, weights: string): boolean => {
    const { book, freshness, ports } = this.bench;
    const view = book.view();
    const standing = standings.of(view, parcel);
    if (view === null || standing.isErr() || parcel.isEnded) return false;
    const { lane, tenant } = standing.value;
    const now = ports.clock.now();
    const isAsPlaced =
      lane.poolName === shot.lane.poolName &&
      tenant.tenant.isolated === shot.tenant.tenant.isolated &&
      view.pools.get(lane.poolName)?.weights === weights;
    if (!isAsPlaced || !freshness.isFresh() || now >= parcel.horizonAt) return false;
    const scope = scopes.ofTenant(tenant);
    const isThere = (wanted: ReplicaRecord, among: readonly ReplicaRecord[]): boolean =>
      among.some((record) => record.name === wanted.name && record.incarnation === wanted.incarnation);
    if (!isThere(placed.record, book.inPool(lane.poolName)) || !book.quarters.mayRun(placed.record, scope, now))
      return false;
    const { holder } = placed;
    if (holder === null) return true;
    const held = book.record(holder.name);
    return (
      held !== undefined &&
      isThere(holder, book.holdersIn(lane.poolName, view.pools.get(lane.poolName)?.store ?? null)) &&
      book.quarters.mayName(held, scope)
    );
  };

  private readonly again = (parcel: Parcel, code: DenyCode, detail: string): void => {
    if (parcel.isEnded || !this.placing().isStanding(parcel) || parcel.lane === null) return;
    const mayRepeat = !parcel.mayHaveRun || !parcel.isOnce;
    if (!mayRepeat || this.isDraining() || parcel.extraShots >= extraShotLimit) {
      this.denying.refuse(parcel, code, detail);
      return;
    }
    if (!this.budgetOf(parcel.lane.poolName).take()) {
      this.denying.refuse(parcel, code, `${detail}; no extra shot is left`);
      return;
    }
    parcel.extraShots += 1;
    this.bench.tally.add('shots_extra');
    this.placing().queue(parcel);
  };

  private readonly count = (parcel: Parcel, placed: Placement, poolName: string): void => {
    const { tally } = this.bench;
    parcel.shots += 1;
    if (parcel.shots === 1) {
      this.budgetOf(poolName).firstShot();
      tally.add('shots_first');
    }
    tally.add('prompt_tokens', parcel.promptTokens);
    tally.add('prompt_tokens_local', placed.localTokens);
    tally.add('prompt_tokens_pulled', placed.pulledTokens);
    tally.add('prompt_tokens_prefilled', placed.prefilledTokens);
  };

  readonly send = async (parcel: Parcel, placed: Placement): Promise<void> => {
    const { tracks, ports, freshness, tally, book } = this.bench;
    const { lane, tenant, order } = parcel;
    const view = book.view();
    if (lane === null || tenant === null || view === null) return;
    const weights = view.pools.get(lane.poolName)?.weights ?? '';
    const replica = placed.record.name;
    this.count(parcel, placed, lane.poolName);
    const mark = tracks.began(replica, placed.prefilledTokens, placed.costMs);
    const shotQuit = new AbortController();
    const quit = (): void => shotQuit.abort();
    parcel.quit.signal.addEventListener('abort', quit, { once: true });
    const sentAt = ports.clock.now();
    const wasSent = parcel.mayHaveRun;
    let isOut = false;
    let isFirstPieceIn = false;
    const release = (): void => {
      parcel.quit.signal.removeEventListener('abort', quit);
      if (!isFirstPieceIn) tracks.given(replica, mark, placed.prefilledTokens);
      tracks.ended(replica);
      queueMicrotask(() => this.placing().pump(lane.poolName));
    };
    const comeBack = (): void => {
      parcel.comesBack();
      release();
      shotQuit.abort();
    };
    const withdrawn = (): void => {
      comeBack();
      if (parcel.isEnded) return;
      if (!freshness.isFresh()) {
        this.denying.refuse(parcel, 'not_fresh', 'this counter lost touch with the postmasters before the shot');
        return;
      }
      this.placing().queue(parcel);
    };
    const failed = (code: DenyCode, detail: string): void => {
      if (parcel.shotOn !== shotOn) return;
      tracks.failed(replica);
      comeBack();
      parcel.avoided.add(replica);
      ports.log.warn('a shot failed', {
        requestId: order.requestId,
        replica,
        detail,
        shot: parcel.shots,
        mayHaveRun: parcel.mayHaveRun,
      });
      this.again(parcel, code, detail);
    };
    const turnedAway = ({ status, cause, retryAfterSeconds }: ShotFault): void => {
      if (status !== null && callersFaults.has(status)) {
        comeBack();
        this.denying.refuse(parcel, 'bad_request', `the replica turned it away: ${cause}`);
        return;
      }
      if (status === null || !busyStatuses.has(status) || retryAfterSeconds === null) {
        failed('replica_failed', cause);
        return;
      }
      tracks.rests(replica, retryAfterSeconds * 1_000);
      parcel.comeBackSeconds = retryAfterSeconds;
      comeBack();
      parcel.avoided.add(replica);
      this.again(parcel, 'no_capacity', `the replica is full: ${cause}`);
    };
    const shotOn: ShotOn = {
      replica,
      incarnation: placed.record.incarnation,
      lost: () => {
        if (parcel.isRelaying) parcel.cut('the replica is gone');
        else if (isOut) failed('replica_failed', 'the replica is gone');
        else withdrawn();
      },
    };
    parcel.leaves(shotOn);
    const receipt = await backWire.send(ports.carriage, {
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
      gate: () => {
        isOut = parcel.shotOn === shotOn && this.isSendable(parcel, placed, { lane, tenant }, weights);
        parcel.mayHaveRun ||= isOut;
        return isOut;
      },
    });
    if (parcel.shotOn !== shotOn) return;
    if (receipt.isErr()) {
      if (receipt.error.isUnsent) parcel.mayHaveRun = wasSent;
      if (parcel.isEnded) return release();
      return receipt.error.cause === 'GATED' ? withdrawn() : turnedAway(receipt.error);
    }
    const first = await receipt.value.next();
    if (parcel.shotOn !== shotOn) return;
    if (parcel.isEnded) return release();
    if (first.done === true) return failed('cut_stream', 'the stream was empty');
    if (first.value.kind !== 'piece') {
      const cause = first.value.kind === 'done' ? 'the stream held no piece' : first.value.cause;
      return failed(first.value.kind === 'wrong' ? 'wrong_weights' : 'cut_stream', cause);
    }
    tracks.firstPiece(replica, mark, placed.prefilledTokens);
    isFirstPieceIn = true;
    tally.add(`first_pieces_tier_${tenant.tierName}`);
    const firstAt = ports.clock.now();
    if (placed.holder !== null)
      this.placing().pulls.seen(placed.holder.name, replica, firstAt - sentAt - placed.costMs - pullSlackMs);
    this.logWhenEnded(parcel, placed, { lane, tenant }, firstAt);
    parcel.relays(this.relaying.relay(parcel, replica, first.value, receipt.value as AsyncGenerator<Piece>, release));
  };

  private readonly logWhenEnded = (
    parcel: Parcel,
    placed: Placement,
    { lane, tenant }: Standing,
    firstAt: number,
  ): void => {
    const { ports } = this.bench;
    parcel.whenEnded(() =>
      ports.log.info('request', {
        requestId: parcel.order.requestId,
        tenant: tenant.name,
        tier: tenant.tierName,
        lane: lane.name,
        replica: placed.record.name,
        holder: placed.holder?.name ?? null,
        promptTokens: parcel.promptTokens,
        keptTokens: placed.localTokens,
        pulledTokens: placed.pulledTokens,
        shots: parcel.shots,
        isWhole: parcel.isWhole,
        firstMs: Math.round(firstAt - parcel.arrivedAt),
        totalMs: Math.round(ports.clock.now() - parcel.arrivedAt),
      }),
    );
  };
}
