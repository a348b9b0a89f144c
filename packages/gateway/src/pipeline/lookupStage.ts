import { background, digests, prompts } from '@martenworks/core-types';
import { backWire } from '@martenworks/upstream';
import type { Piece } from '@martenworks/upstream';
import type { StageContext } from './stageContext.js';
import { RateShare } from '../limits/retryBudget.js';
import type { StoredResponseState } from '../claims/claims.js';
import type { Rejector } from './rejector.js';
import type { GatewayRequest } from '../gatewayRequest.js';

const longestDeadlineMs = 600_000;

export class LookupStage {
  private readonly rates = new Map<number, RateShare>();

  constructor(
    private readonly context: StageContext,
    private readonly rejector: Rejector,
    private readonly next: (request: GatewayRequest) => void,
    private readonly replay: (request: GatewayRequest, datas: readonly string[]) => AsyncGenerator<Piece>,
  ) {}

  readonly work = (request: GatewayRequest): void => {
    if (request.isEnded) return;
    const view = this.context.stateView.view();
    const { tenant } = request;
    if (view === null || tenant === null) {
      this.rejector.refuse(request, 'not_fresh', 'no layout is held');
      return;
    }
    const laneName = request.order.body.model;
    if (typeof laneName !== 'string') {
      this.rejector.refuse(request, 'bad_request', 'model must name a lane');
      return;
    }
    const lane = view.lanes.get(laneName);
    if (lane === undefined) {
      this.rejector.refuse(request, 'unknown_lane', 'no such lane');
      return;
    }
    if (!tenant.lanes.has(lane.index)) {
      this.rejector.refuse(request, 'lane_not_granted', "the key's holder may not use this lane");
      return;
    }
    const prompt = backWire.promptOf(request.order.path, request.order.body);
    if (prompt === null) {
      this.rejector.refuse(request, 'bad_request', 'the prompt must be text');
      return;
    }
    if (!this.isWithinRate(request)) {
      this.rejector.refuse(request, 'over_share', 'the tenant is over its rate');
      return;
    }
    request.lane = lane;
    request.laneName = laneName;
    request.isOnce = lane.repeat === 'once';
    request.promptTokens = prompts.tokens(prompt);
    request.blocks = prompts.blocks(prompt);
    const deadlineMs = Math.min(longestDeadlineMs, request.order.deadlineMs ?? tenant.tier.horizonMs);
    request.deadlineAt = request.arrivedAt + deadlineMs;
    const timer = this.context.ports.clock.after(
      Math.max(0, request.deadlineAt - this.context.ports.clock.now()),
      () => {
        if (!request.isAnswered)
          this.rejector.refuse(request, 'horizon_passed', 'the horizon passed before a first piece came');
      },
    );
    request.whenEnded(timer.cancel);
    if (request.order.idempotencyKey === null) this.next(request);
    else background.run('claim and queue a request', this.claimThenQueue(request, request.order.idempotencyKey));
  };

  private readonly claimThenQueue = async (request: GatewayRequest, idempotencyKey: string): Promise<void> => {
    const { order, tenant } = request;
    const key = digests.of([tenant?.name, idempotencyKey]);
    const outcome = await this.context.claims.take(
      key,
      digests.of([order.path, { ...order.body, stream: null }]),
      order.requestId,
    );
    this.context.metrics.add(`claims_${outcome.kind.replace(' ', '_')}`);
    if (outcome.kind === 'claimed') {
      request.claim = outcome.claim;
      const note = (): void => this.context.claims.ended(outcome.claim, this.storedStateOf(request));
      if (request.isEnded) return note();
      request.whenEnded(note);
      return this.next(request);
    }
    if (request.isEnded) return;
    switch (outcome.kind) {
      case 'replay':
        request.mayHaveRun = true;
        return request.relays(this.replay(request, outcome.datas));
      case 'running':
        request.mayHaveRun = true;
        return this.rejector.refuse(request, 'in_progress', 'this Idempotency-Key is being run');
      case 'unknown':
        request.mayHaveRun = true;
        return this.rejector.refuse(
          request,
          'outcome_unknown',
          'this Idempotency-Key was claimed, and what came of it is not known',
        );
      case 'reused':
        return this.rejector.refuse(request, 'key_reused', 'this Idempotency-Key was used for another request');
      case 'no majority':
        return this.rejector.refuse(request, 'no_claim', 'no majority of control nodes took the claim');
    }
  };

  private readonly storedStateOf = (request: GatewayRequest): StoredResponseState => {
    if (request.isWhole) return { kind: 'done', datas: request.keptDatas };
    return request.mayHaveRun ? { kind: 'unknown' } : { kind: 'not run' };
  };

  private readonly isWithinRate = (request: GatewayRequest): boolean => {
    const { tenant } = request;
    if (tenant === null || tenant.tenant.ratePerSecond === null) return true;
    const perSecond = tenant.tenant.ratePerSecond / this.context.settings.gatewayCount;
    const held = this.rates.get(tenant.index);
    const rate =
      held !== undefined && held.perSecond === perSecond
        ? held
        : new RateShare(perSecond, this.context.ports.clock.now());
    this.rates.set(tenant.index, rate);
    return rate.take(this.context.ports.clock.now());
  };
}
