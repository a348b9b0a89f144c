/** Fourth stage: sends placed requests to their replicas, and retries where that is safe and within the budget. */
import type { RejectionCode } from '@martenworks/core-types';
import type { Placement } from '@martenworks/prefix-index';
import { replicaProtocol } from '@martenworks/upstream';
import type { CompletionEvent } from '@martenworks/upstream';
import type { GatewayRequest } from '../gatewayRequest.js';
import { RetryBudget } from '../limits/retryBudget.js';
import type { PlacementStage } from './placementStage.js';
import type { Rejector } from './rejector.js';
import type { RelayStage } from './relayStage.js';
import { ReplicaAttempt } from './replicaAttempt.js';
import type { AttemptPlan } from './replicaAttempt.js';
import { isSendable } from './sendCheck.js';
import type { StageContext } from './stageContext.js';

/** Time by which a cache transfer may exceed its forecast without counting as slow. */
const transferSlackMs = 100;
const maxRetries = 2;

type SendResult = Awaited<ReturnType<typeof replicaProtocol.send>>;

/** Sends and retries the requests of all pools. */
export class SendStage {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly context: StageContext,
    private readonly rejector: Rejector,
    private readonly relayStage: RelayStage,
    private readonly placementStage: () => PlacementStage,
    private readonly isDraining: () => boolean,
  ) {}

  private readonly budgetOf = (poolName: string): RetryBudget => {
    const poolAllowance = this.context.stateView.view()?.pools.get(poolName)?.extraAllowance ?? 0;
    const allowance = poolAllowance / this.context.settings.gatewayCount;
    const existing = this.budgets.get(poolName);
    if (existing?.allowance === allowance) return existing;
    const budget = new RetryBudget(allowance);
    this.budgets.set(poolName, budget);
    return budget;
  };

  /** Remaining tokens of each pool's retry budget, for the status page. */
  readonly remainingBudgets = (): Record<string, number> =>
    Object.fromEntries([...this.budgets].map(([poolName, budget]) => [poolName, budget.remaining()]));

  private readonly retry = (request: GatewayRequest, code: RejectionCode, detail: string): void => {
    if (request.isEnded || !this.placementStage().refreshGrant(request) || request.lane === null) return;
    const mayRunAgain = !request.mayHaveRun || !request.isAtMostOnce;
    if (!mayRunAgain || this.isDraining() || request.retries >= maxRetries) {
      this.rejector.reject(request, code, detail);
      return;
    }
    if (!this.budgetOf(request.lane.poolName).trySpend()) {
      this.rejector.reject(request, code, `${detail}; the retry budget is exhausted`);
      return;
    }
    request.retries += 1;
    this.context.metrics.add('shots_extra');
    this.placementStage().enqueue(request);
  };

  private readonly recordAttempt = (request: GatewayRequest, placed: Placement, poolName: string): void => {
    const { metrics } = this.context;
    request.attempts += 1;
    if (request.attempts === 1) {
      this.budgetOf(poolName).recordFirstAttempt();
      metrics.add('shots_first');
    }
    metrics.add('prompt_tokens', request.promptTokens);
    metrics.add('prompt_tokens_local', placed.localTokens);
    metrics.add('prompt_tokens_pulled', placed.pulledTokens);
    metrics.add('prompt_tokens_prefilled', placed.prefilledTokens);
  };

  private readonly planOf = (request: GatewayRequest, placed: Placement): AttemptPlan | null => {
    const { lane, tenant } = request;
    const view = this.context.stateView.view();
    if (lane === null || tenant === null || view === null) return null;
    return { placed, grant: { lane, tenant }, weights: view.pools.get(lane.poolName)?.weights ?? '' };
  };

  /** Sends a placed request and starts the relay; resolves once the first chunk arrived or the attempt ended. */
  readonly send = async (request: GatewayRequest, placed: Placement): Promise<void> => {
    const plan = this.planOf(request, placed);
    if (plan === null) return;
    this.recordAttempt(request, placed, plan.grant.lane.poolName);
    const attempt = new ReplicaAttempt(this.context, request, plan, {
      rejector: this.rejector,
      placementStage: this.placementStage(),
      retry: (...args) => this.retry(...args),
    });
    request.startAttempt(attempt);
    const response = await this.sendBody(request, attempt);
    if (!attempt.isActive) return;
    if (response.isErr()) {
      attempt.handleSendError(response.error);
      return;
    }
    const first = await response.value.next();
    if (!attempt.isActive) return;
    if (request.isEnded) attempt.release();
    else if (first.done === true) attempt.handleFailure('cut_stream', 'the response stream was empty');
    else if (first.value.kind === 'chunk')
      this.startRelay(request, attempt, first.value, response.value as AsyncGenerator<CompletionEvent>);
    else this.handleFirstEventFailure(attempt, first.value);
  };

  private readonly sendBody = (request: GatewayRequest, attempt: ReplicaAttempt): Promise<SendResult> => {
    const { placed, grant, weights } = attempt.plan;
    const { requestId, path, body } = request.completion;
    return replicaProtocol.send(this.context.ports.httpClient, {
      requestId,
      replica: placed.record.address,
      path,
      body,
      weights,
      tenant: grant.tenant.name,
      isIsolated: grant.tenant.tenant.isolated,
      priority: grant.tenant.tier.rank,
      cacheFrom: placed.holder?.address ?? null,
      signal: attempt.signal,
      gate: () => attempt.gate(isSendable(this.context, request, attempt.plan)),
    });
  };

  private readonly handleFirstEventFailure = (
    attempt: ReplicaAttempt,
    event: Exclude<CompletionEvent, { kind: 'chunk' }>,
  ): void => {
    const detail = event.kind === 'done' ? 'the response stream had no chunks' : event.cause;
    attempt.handleFailure(event.kind === 'wrongWeights' ? 'wrong_weights' : 'cut_stream', detail);
  };

  private readonly startRelay = (
    request: GatewayRequest,
    attempt: ReplicaAttempt,
    first: CompletionEvent,
    rest: AsyncGenerator<CompletionEvent>,
  ): void => {
    const { placed, grant } = attempt.plan;
    attempt.recordFirstChunk();
    this.context.metrics.add(`first_pieces_tier_${grant.tenant.tierName}`);
    const firstChunkAt = this.context.ports.clock.now();
    if (placed.holder !== null) {
      const excessMs = firstChunkAt - attempt.startedAt - placed.costMs - transferSlackMs;
      this.placementStage().recordTransferExcess(placed.holder.name, attempt.replica, excessMs);
    }
    this.logOnEnd(request, attempt.plan, firstChunkAt);
    request.startRelay(this.relayStage.relay(request, attempt.replica, first, rest, attempt.release));
  };

  private readonly logOnEnd = (request: GatewayRequest, plan: AttemptPlan, firstChunkAt: number): void => {
    const { ports } = this.context;
    const { placed, grant } = plan;
    request.onEnd(() =>
      ports.log.info('request', {
        requestId: request.completion.requestId,
        tenant: grant.tenant.name,
        tier: grant.tenant.tierName,
        lane: grant.lane.name,
        replica: placed.record.name,
        holder: placed.holder?.name ?? null,
        promptTokens: request.promptTokens,
        keptTokens: placed.localTokens,
        pulledTokens: placed.pulledTokens,
        attempts: request.attempts,
        isWhole: request.isComplete,
        firstMs: Math.round(firstChunkAt - request.arrivedAt),
        totalMs: Math.round(ports.clock.now() - request.arrivedAt),
      }),
    );
  };
}
