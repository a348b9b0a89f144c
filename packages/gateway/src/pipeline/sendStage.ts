import type { RejectionCode, ReplicaRecord } from '@martenworks/core-types';
import { backWire } from '@martenworks/upstream';
import type { Piece, ReplicaAttemptError } from '@martenworks/upstream';
import type { Placement } from '@martenworks/prefix-index';
import type { StageContext } from './stageContext.js';
import { RetryBudget } from '../limits/retryBudget.js';
import type { Rejector } from './rejector.js';
import { scopes } from '../gatewayRequest.js';
import type { GatewayRequest, ActiveAttempt } from '../gatewayRequest.js';
import type { PlacementStage } from './placementStage.js';
import type { RelayStage } from './relayStage.js';
import { grants } from '../state/grants.js';
import type { Grant } from '../state/grants.js';

const pullSlackMs = 100;
const retryLimit = 2;
const callersFaults = new Set([400, 413, 414, 415, 422]);
const busyStatuses = new Set([429, 503]);

export class SendStage {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly context: StageContext,
    private readonly rejector: Rejector,
    private readonly relaying: RelayStage,
    private readonly placementStage: () => PlacementStage,
    private readonly isDraining: () => boolean,
  ) {}

  private readonly budgetOf = (poolName: string): RetryBudget => {
    const allowance =
      (this.context.stateView.view()?.pools.get(poolName)?.extraAllowance ?? 0) / this.context.settings.gatewayCount;
    const held = this.budgets.get(poolName);
    if (held?.allowance === allowance) return held;
    const budget = new RetryBudget(allowance);
    this.budgets.set(poolName, budget);
    return budget;
  };

  readonly budgetsLeft = (): Record<string, number> =>
    Object.fromEntries([...this.budgets].map(([poolName, budget]) => [poolName, budget.left()]));

  private readonly isSendable = (
    request: GatewayRequest,
    placed: Placement,
    attempt: Grant,
    weights: string,
  ): boolean => {
    const { stateView, freshness, ports } = this.context;
    const view = stateView.view();
    const standing = grants.of(view, request);
    if (view === null || standing.isErr() || request.isEnded) return false;
    const { lane, tenant } = standing.value;
    const now = ports.clock.now();
    const isAsPlaced =
      lane.poolName === attempt.lane.poolName &&
      tenant.tenant.isolated === attempt.tenant.tenant.isolated &&
      view.pools.get(lane.poolName)?.weights === weights;
    if (!isAsPlaced || !freshness.isFresh() || now >= request.deadlineAt) return false;
    const scope = scopes.ofTenant(tenant);
    const isThere = (wanted: ReplicaRecord, among: readonly ReplicaRecord[]): boolean =>
      among.some((record) => record.name === wanted.name && record.incarnation === wanted.incarnation);
    if (
      !isThere(placed.record, stateView.inPool(lane.poolName)) ||
      !stateView.tenantPartitions.mayRun(placed.record, scope, now)
    )
      return false;
    const { holder } = placed;
    if (holder === null) return true;
    const held = stateView.record(holder.name);
    return (
      held !== undefined &&
      isThere(holder, stateView.holdersIn(lane.poolName, view.pools.get(lane.poolName)?.store ?? null)) &&
      stateView.tenantPartitions.mayName(held, scope)
    );
  };

  private readonly again = (request: GatewayRequest, code: RejectionCode, detail: string): void => {
    if (request.isEnded || !this.placementStage().isStanding(request) || request.lane === null) return;
    const mayRepeat = !request.mayHaveRun || !request.isOnce;
    if (!mayRepeat || this.isDraining() || request.retries >= retryLimit) {
      this.rejector.refuse(request, code, detail);
      return;
    }
    if (!this.budgetOf(request.lane.poolName).take()) {
      this.rejector.refuse(request, code, `${detail}; no extra shot is left`);
      return;
    }
    request.retries += 1;
    this.context.metrics.add('shots_extra');
    this.placementStage().queue(request);
  };

  private readonly count = (request: GatewayRequest, placed: Placement, poolName: string): void => {
    const { metrics } = this.context;
    request.attempts += 1;
    if (request.attempts === 1) {
      this.budgetOf(poolName).firstAttempt();
      metrics.add('shots_first');
    }
    metrics.add('prompt_tokens', request.promptTokens);
    metrics.add('prompt_tokens_local', placed.localTokens);
    metrics.add('prompt_tokens_pulled', placed.pulledTokens);
    metrics.add('prompt_tokens_prefilled', placed.prefilledTokens);
  };

  readonly send = async (request: GatewayRequest, placed: Placement): Promise<void> => {
    const { replicaTracker, ports, freshness, metrics, stateView } = this.context;
    const { lane, tenant, order } = request;
    const view = stateView.view();
    if (lane === null || tenant === null || view === null) return;
    const weights = view.pools.get(lane.poolName)?.weights ?? '';
    const replica = placed.record.name;
    this.count(request, placed, lane.poolName);
    const mark = replicaTracker.began(replica, placed.prefilledTokens, placed.costMs);
    const attemptAbort = new AbortController();
    const quit = (): void => attemptAbort.abort();
    request.quit.signal.addEventListener('abort', quit, { once: true });
    const sentAt = ports.clock.now();
    const wasSent = request.mayHaveRun;
    let isOut = false;
    let isFirstPieceIn = false;
    const release = (): void => {
      request.quit.signal.removeEventListener('abort', quit);
      if (!isFirstPieceIn) replicaTracker.given(replica, mark, placed.prefilledTokens);
      replicaTracker.ended(replica);
      queueMicrotask(() => this.placementStage().pump(lane.poolName));
    };
    const comeBack = (): void => {
      request.comesBack();
      release();
      attemptAbort.abort();
    };
    const withdrawn = (): void => {
      comeBack();
      if (request.isEnded) return;
      if (!freshness.isFresh()) {
        this.rejector.refuse(request, 'not_fresh', 'this gateway lost touch with the control nodes before the shot');
        return;
      }
      this.placementStage().queue(request);
    };
    const failed = (code: RejectionCode, detail: string): void => {
      if (request.activeAttempt !== activeAttempt) return;
      replicaTracker.failed(replica);
      comeBack();
      request.avoided.add(replica);
      ports.log.warn('attempt failed', {
        requestId: order.requestId,
        replica,
        detail,
        attempt: request.attempts,
        mayHaveRun: request.mayHaveRun,
      });
      this.again(request, code, detail);
    };
    const turnedAway = ({ status, cause, retryAfterSeconds }: ReplicaAttemptError): void => {
      if (status !== null && callersFaults.has(status)) {
        comeBack();
        this.rejector.refuse(request, 'bad_request', `the replica turned it away: ${cause}`);
        return;
      }
      if (status === null || !busyStatuses.has(status) || retryAfterSeconds === null) {
        failed('replica_failed', cause);
        return;
      }
      replicaTracker.rests(replica, retryAfterSeconds * 1_000);
      request.comeBackSeconds = retryAfterSeconds;
      comeBack();
      request.avoided.add(replica);
      this.again(request, 'no_capacity', `the replica is full: ${cause}`);
    };
    const activeAttempt: ActiveAttempt = {
      replica,
      incarnation: placed.record.incarnation,
      lost: () => {
        if (request.isRelaying) request.cut('the replica is gone');
        else if (isOut) failed('replica_failed', 'the replica is gone');
        else withdrawn();
      },
    };
    request.leaves(activeAttempt);
    const response = await backWire.send(ports.httpClient, {
      requestId: order.requestId,
      replica: placed.record.address,
      path: order.path,
      body: order.body,
      weights,
      tenant: tenant.name,
      isIsolated: tenant.tenant.isolated,
      priority: tenant.tier.rank,
      cacheFrom: placed.holder?.address ?? null,
      signal: attemptAbort.signal,
      gate: () => {
        isOut = request.activeAttempt === activeAttempt && this.isSendable(request, placed, { lane, tenant }, weights);
        request.mayHaveRun ||= isOut;
        return isOut;
      },
    });
    if (request.activeAttempt !== activeAttempt) return;
    if (response.isErr()) {
      if (response.error.isUnsent) request.mayHaveRun = wasSent;
      if (request.isEnded) return release();
      return response.error.cause === 'GATED' ? withdrawn() : turnedAway(response.error);
    }
    const first = await response.value.next();
    if (request.activeAttempt !== activeAttempt) return;
    if (request.isEnded) return release();
    if (first.done === true) return failed('cut_stream', 'the stream was empty');
    if (first.value.kind !== 'piece') {
      const cause = first.value.kind === 'done' ? 'the stream held no piece' : first.value.cause;
      return failed(first.value.kind === 'wrong' ? 'wrong_weights' : 'cut_stream', cause);
    }
    replicaTracker.firstPiece(replica, mark, placed.prefilledTokens);
    isFirstPieceIn = true;
    metrics.add(`first_pieces_tier_${tenant.tierName}`);
    const firstAt = ports.clock.now();
    if (placed.holder !== null)
      this.placementStage().pulls.seen(placed.holder.name, replica, firstAt - sentAt - placed.costMs - pullSlackMs);
    this.logWhenEnded(request, placed, { lane, tenant }, firstAt);
    request.relays(
      this.relaying.relay(request, replica, first.value, response.value as AsyncGenerator<Piece>, release),
    );
  };

  private readonly logWhenEnded = (
    request: GatewayRequest,
    placed: Placement,
    { lane, tenant }: Grant,
    firstAt: number,
  ): void => {
    const { ports } = this.context;
    request.whenEnded(() =>
      ports.log.info('request', {
        requestId: request.order.requestId,
        tenant: tenant.name,
        tier: tenant.tierName,
        lane: lane.name,
        replica: placed.record.name,
        holder: placed.holder?.name ?? null,
        promptTokens: request.promptTokens,
        keptTokens: placed.localTokens,
        pulledTokens: placed.pulledTokens,
        attempts: request.attempts,
        isWhole: request.isWhole,
        firstMs: Math.round(firstAt - request.arrivedAt),
        totalMs: Math.round(ports.clock.now() - request.arrivedAt),
      }),
    );
  };
}
