/** Third stage: holds admitted requests in their pool's queue and picks a replica for each. */
import type { PoolDemands } from '@martenworks/core-types';
import { choosePlacement } from '@martenworks/prefix-index';
import type { Placement } from '@martenworks/prefix-index';
import type { GatewayRequest } from '../gatewayRequest.js';
import type { LaneView, TenantView } from '../state/gatewayConfigView.js';
import { grants } from '../state/grants.js';
import { PlacementExplanation } from './placementExplanation.js';
import { PlacementQuestions } from './placementQuestions.js';
import { PoolQueues } from './poolQueues.js';
import type { PoolQueue } from './poolQueues.js';
import type { Rejector } from './rejector.js';
import type { StageContext } from './stageContext.js';

/** A forecast wait over this share of the time left is taken to pass the deadline. */
const forecastSafety = 0.5;

/** Queues and places the requests of all pools. */
export class PlacementStage {
  private readonly queues: PoolQueues;
  private readonly questions: PlacementQuestions;
  private readonly explanation: PlacementExplanation;

  constructor(
    private readonly context: StageContext,
    private readonly rejector: Rejector,
    private readonly send: (request: GatewayRequest, placed: Placement) => void,
  ) {
    this.queues = new PoolQueues(context);
    this.questions = new PlacementQuestions(context);
    this.explanation = new PlacementExplanation(context, this.questions);
  }

  /** Brings the request's lane and tenant up to date; rejects it and returns false if its grant is gone. */
  readonly refreshGrant = (request: GatewayRequest): boolean =>
    grants.of(this.context.stateView.view(), request).match(
      ({ lane, tenant }) => {
        request.lane = lane;
        request.tenant = tenant;
        request.isOnce ||= lane.repeat === 'once';
        return true;
      },
      ({ code, detail }) => {
        this.rejector.refuse(request, code, detail);
        return false;
      },
    );

  /** Queues a request, or rejects it at once when it cannot be served in time. */
  readonly queue = (request: GatewayRequest): void => {
    if (!this.refreshGrant(request)) return;
    const { lane, tenant } = request;
    if (lane === null || tenant === null) return;
    if (this.context.stateView.inPool(lane.poolName).length === 0) {
      this.rejector.refuse(request, 'no_capacity', 'the pool has no ready replica');
      return;
    }
    this.queueIn(this.queues.of(lane.poolName), lane, tenant, request);
  };

  private readonly queueIn = (queue: PoolQueue, lane: LaneView, tenant: TenantView, request: GatewayRequest): void => {
    if (this.queues.isTierFull(queue, tenant)) {
      this.rejector.refuse(request, 'over_share', "the tier's share of the queue is taken");
      return;
    }
    const now = this.context.ports.clock.now();
    if (queue.waiting.forecastMs(tenant.name, now) > (request.deadlineAt - now) * forecastSafety) {
      this.rejector.refuse(request, 'no_capacity', 'the wait would pass the deadline');
      return;
    }
    request.startWaiting();
    const displaced = this.queues.put(queue, tenant, request, now);
    if (displaced !== null) this.rejector.refuse(displaced, 'no_capacity', 'the queue is full');
    this.pump(lane.poolName);
  };

  /** Removes a request from its queue; false when it did not wait. */
  readonly unqueue = (request: GatewayRequest): boolean => this.queues.remove(request);

  /** The expected wait of a request in its pool's queue, in milliseconds. */
  readonly forecastMs = (request: GatewayRequest): number => this.queues.forecastMs(request);

  /** Rejects every waiting request while the committed state is not fresh. */
  readonly sweep = (): void => {
    if (this.context.freshness.isFresh()) return;
    const detail = 'this gateway lost touch with the control nodes while the request waited';
    for (const [, queue] of this.queues.entries())
      for (const request of queue.waiting.items()) this.rejector.refuse(request, 'not_fresh', detail);
  };

  /** Rejects the requests that will miss their deadline, then places what can be placed in all pools. */
  readonly pumpAll = (): void => {
    const now = this.context.ports.clock.now();
    for (const [, queue] of this.queues.entries()) {
      for (const request of queue.waiting.hopeless(now, ({ deadlineAt }) => deadlineAt))
        this.rejector.refuse(request, 'no_capacity', 'the wait would pass the deadline');
    }
    for (const [poolName] of this.queues.entries()) this.pump(poolName);
  };

  /** For each pool: requests waiting here, and requests of this gateway running there. */
  readonly demands = (): PoolDemands =>
    Object.fromEntries(
      this.queues
        .entries()
        .map(([poolName, queue]) => [poolName, [queue.waiting.size(), this.ownRunning(poolName)] as const]),
    );

  private readonly ownRunning = (poolName: string): number =>
    this.context.stateView
      .inPool(poolName)
      .reduce((sum, record) => sum + this.context.replicaTracker.own(record.name), 0);

  /** Places waiting requests of a pool until none can be placed. */
  readonly pump = (poolName: string): void => {
    const queue = this.queues.of(poolName);
    while (
      this.context.freshness.isFresh() &&
      queue.waiting.heads().some((request) => this.placeOrReject(queue, request, poolName))
    );
  };

  /** False when the request has to wait on. */
  private readonly placeOrReject = (queue: PoolQueue, request: GatewayRequest, poolName: string): boolean => {
    const question = this.questions.of(request);
    const placed = question === null ? null : choosePlacement(this.context.stateView.index, question);
    if (placed !== null) {
      this.queues.grant(queue, request);
      this.send(request, placed);
      return true;
    }
    if (this.context.stateView.inPool(poolName).some((record) => !request.avoided.has(record.name))) return false;
    const hasFailed = request.attempts > 0 && request.retryAfterSeconds === null;
    const code = hasFailed ? 'replica_failed' : 'no_capacity';
    this.rejector.refuse(request, code, 'the pool has no ready replica left for this request');
    return true;
  };

  /** Explains to an operator how a request would be placed now. */
  readonly explain: PlacementExplanation['of'] = (laneName, tenantName, prompt) =>
    this.explanation.of(laneName, tenantName, prompt);

  /** The depths of all queues, by pool. */
  readonly depths: PoolQueues['depths'] = () => this.queues.depths();

  /** Takes how many gateways have requests waiting for each pool. */
  readonly takeContention: PlacementQuestions['takeContention'] = (contention) =>
    this.questions.takeContention(contention);

  /** Takes by how many milliseconds a cache transfer took longer than forecast. */
  readonly takeTransferExcess = (holder: string, receiver: string, excessMs: number): void =>
    this.questions.transferTracker.seen(holder, receiver, excessMs);

  /** After a change of the configuration: rejects a request that lost its grant, and requeues one that moved. */
  readonly renew = (request: GatewayRequest): void => {
    const { lane, tenant } = request;
    if (lane === null || tenant === null) return;
    const isMoved = grants.of(this.context.stateView.view(), request).match(
      (next) =>
        next.lane.poolName !== lane.poolName ||
        next.tenant.tierName !== tenant.tierName ||
        next.tenant.tier.rank !== tenant.tier.rank,
      () => false,
    );
    const wasWaiting = isMoved && this.unqueue(request);
    if (this.refreshGrant(request) && wasWaiting) this.queue(request);
  };
}
