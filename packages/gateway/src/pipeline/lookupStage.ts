/** Second stage: looks up the request's lane and prompt, checks the tenant's rate, and claims the idempotency key. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background, digests, prompts } from '@martenworks/core-types';
import { replicaProtocol } from '@martenworks/upstream';
import type { CompletionEvent } from '@martenworks/upstream';
import type { Claim, ClaimOutcome } from '../claims/claims.js';
import type { StoredResponseState } from '../claims/responseStore.js';
import type { ClaimRejection, LookupError } from '../errors.js';
import type { GatewayRequest } from '../gatewayRequest.js';
import { RateLimiter } from '../limits/rateLimiter.js';
import type { LaneView, TenantView } from '../state/gatewayConfigView.js';
import type { Rejector } from './rejector.js';
import type { StageContext } from './stageContext.js';

const maxDeadlineMs = 600_000;

interface LookupResult {
  readonly lane: LaneView;
  readonly tenant: TenantView;
  readonly prompt: string;
}

/** Outcomes that mean that another request with the same key may have run. */
const mayHaveRunElsewhere: ReadonlySet<ClaimOutcome['kind']> = new Set(['replay', 'running', 'unknown']);

const claimRejections: Record<Exclude<ClaimOutcome['kind'], 'claimed' | 'replay'>, ClaimRejection> = {
  running: { code: 'in_progress', detail: 'a request with this Idempotency-Key is running' },
  unknown: {
    code: 'outcome_unknown',
    detail: 'this Idempotency-Key was claimed and the outcome of its request is unknown',
  },
  reused: { code: 'key_reused', detail: 'this Idempotency-Key was used for another request' },
  'no majority': {
    code: 'no_claim',
    detail: 'no majority of control nodes accepted the claim on the Idempotency-Key',
  },
};

/** Fills in the lane, the prompt and the deadline of a request. */
export class LookupStage {
  private readonly rateLimiters = new Map<number, RateLimiter>();

  constructor(
    private readonly context: StageContext,
    private readonly rejector: Rejector,
    private readonly next: (request: GatewayRequest) => void,
    private readonly replay: (request: GatewayRequest, chunks: readonly string[]) => AsyncGenerator<CompletionEvent>,
  ) {}

  /** Passes the request on, after claiming its idempotency key if it has one, or rejects it. */
  readonly handle = (request: GatewayRequest): void => {
    if (request.isEnded) return;
    const found = this.lookUp(request);
    if (found.isErr()) {
      this.rejector.reject(request, found.error.code, found.error.detail);
      return;
    }
    this.fill(request, found.value);
    this.startDeadline(request);
    const { idempotencyKey } = request.completion;
    if (idempotencyKey === null) this.next(request);
    else background.run('claim and queue a request', this.claimThenQueue(request, idempotencyKey));
  };

  private readonly lookUp = (request: GatewayRequest): Result<LookupResult, LookupError> => {
    const { tenant, completion } = request;
    const view = this.context.stateView.view();
    if (view === null || tenant === null)
      return err({ code: 'not_fresh', detail: 'no configuration has been received' });
    const laneName = completion.body.model;
    if (typeof laneName !== 'string') return err({ code: 'bad_request', detail: 'model must be the name of a lane' });
    const lane = view.lanes.get(laneName);
    if (lane === undefined) return err({ code: 'unknown_lane', detail: 'the lane does not exist' });
    if (!tenant.lanes.has(lane.index))
      return err({ code: 'lane_not_granted', detail: 'the tenant of this key may not use the lane' });
    const prompt = replicaProtocol.promptOf(completion.path, completion.body);
    if (prompt === null)
      return err({
        code: 'bad_request',
        detail: 'the body must have a string prompt, or messages with a role and string content',
      });
    if (!this.isWithinRate(tenant)) return err({ code: 'over_share', detail: 'the tenant is over its rate limit' });
    return ok({ lane, tenant, prompt });
  };

  private readonly fill = (request: GatewayRequest, { lane, tenant, prompt }: LookupResult): void => {
    request.lane = lane;
    request.laneName = lane.name;
    request.isAtMostOnce = lane.repeat === 'once';
    request.promptTokens = prompts.tokens(prompt);
    request.blocks = prompts.blocks(prompt);
    const deadlineMs = Math.min(maxDeadlineMs, request.completion.deadlineMs ?? tenant.tier.horizonMs);
    request.deadlineAt = request.arrivedAt + deadlineMs;
  };

  private readonly startDeadline = (request: GatewayRequest): void => {
    const { clock } = this.context.ports;
    const timer = clock.after(Math.max(0, request.deadlineAt - clock.now()), () => {
      if (request.hasResponseStarted) return;
      this.rejector.reject(request, 'horizon_passed', 'the deadline passed before the first chunk arrived');
    });
    request.onEnd(timer.cancel);
  };

  private readonly claimThenQueue = async (request: GatewayRequest, idempotencyKey: string): Promise<void> => {
    const { claims, metrics } = this.context;
    const { completion, tenant } = request;
    const key = digests.of([tenant?.name, idempotencyKey]);
    const digest = digests.of([completion.path, { ...completion.body, stream: null }]);
    const outcome = await claims.acquire(key, digest, completion.requestId);
    metrics.add(`claims_${outcome.kind.replace(' ', '_')}`);
    if (outcome.kind === 'claimed') this.runClaimed(request, outcome.claim);
    else if (!request.isEnded) this.respondUnclaimed(request, outcome);
  };

  private readonly runClaimed = (request: GatewayRequest, claim: Claim): void => {
    request.claim = claim;
    const recordOutcome = (): void => this.context.claims.recordOutcome(claim, this.storedStateOf(request));
    if (request.isEnded) {
      recordOutcome();
      return;
    }
    request.onEnd(recordOutcome);
    this.next(request);
  };

  private readonly respondUnclaimed = (
    request: GatewayRequest,
    outcome: Exclude<ClaimOutcome, { kind: 'claimed' }>,
  ): void => {
    request.mayHaveRun ||= mayHaveRunElsewhere.has(outcome.kind);
    if (outcome.kind === 'replay') {
      request.startRelay(this.replay(request, outcome.datas));
      return;
    }
    const { code, detail } = claimRejections[outcome.kind];
    this.rejector.reject(request, code, detail);
  };

  private readonly storedStateOf = (request: GatewayRequest): StoredResponseState => {
    if (request.isComplete) return { kind: 'done', datas: request.relayedChunks };
    return request.mayHaveRun ? { kind: 'unknown' } : { kind: 'not run' };
  };

  private readonly isWithinRate = (tenant: TenantView): boolean => {
    if (tenant.tenant.ratePerSecond === null) return true;
    const now = this.context.ports.clock.now();
    const perSecond = tenant.tenant.ratePerSecond / this.context.settings.gatewayCount;
    const existing = this.rateLimiters.get(tenant.index);
    const rateLimiter = existing?.perSecond === perSecond ? existing : new RateLimiter(perSecond, now);
    this.rateLimiters.set(tenant.index, rateLimiter);
    return rateLimiter.tryAcquire(now);
  };
}
