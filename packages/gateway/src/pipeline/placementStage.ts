/** Third stage: queues admitted requests by pool and chooses a replica for each. */
import type { PoolDemands } from '@martenworks/core-types';
import { choosePlacement } from '@martenworks/prefix-index';
import type { Placement } from '@martenworks/prefix-index';
import type { GatewayRequest } from '../gatewayRequest.js';
import type { LaneView, TenantView } from '../state/gatewayConfigView.js';
import { grants } from '../state/grants.js';
import { PlacementExplanation } from './placementExplanation.js';
import { PlacementQueries } from './placementQueries.js';
import { PoolQueues } from './poolQueues.js';
import type { PoolQueue } from './poolQueues.js';
import type { Rejector } from './rejector.js';
import type { StageContext } from './stageContext.js';

/** A request is rejected if its expected wait exceeds this share of the time to its deadline: a safety margin. */
const maxWaitShare = 0.5;

/** Queues and places the requests of all pools. */
export class PlacementStage {
  private readonly queues: PoolQueues;
  private readonly queries: PlacementQueries;
  private readonly explanation: PlacementExplanation;

  constructor(
    private readonly context: StageContext,
    private readonly rejector: Rejector,
    private readonly send: (request: GatewayRequest, placed: Placement) => void,
  ) {
    this.queues = new PoolQueues(context);
    this.queries = new PlacementQueries(context);
    this.explanation = new PlacementExplanation(context, this.queries);
  }

  /** Updates the request's lane and tenant; rejects it and returns false if it has lost its grant. */
  readonly refreshGrant = (request: GatewayRequest): boolean =>
    grants.of(this.context.stateView.view(), request).match(
      ({ lane, tenant }) => {
        request.lane = lane;
        request.tenant = tenant;
        request.isAtMostOnce ||= lane.repeat === 'once';
        return true;
      },
      ({ code, detail }) => {
        this.rejector.reject(request, code, detail);
        return false;
      },
    );

  /** Queues a request, or rejects it immediately if it cannot be served in time. */
  readonly enqueue = (request: GatewayRequest): void => {
    if (!this.refreshGrant(request)) return;
    const { lane, tenant } = request;
    if (lane === null || tenant === null) return;
    if (this.context.stateView.inPool(lane.poolName).length === 0) {
      this.rejector.reject(request, 'no_capacity', 'the pool has no ready replica');
      return;
    }
    this.enqueueIn(this.queues.of(lane.poolName), lane, tenant, request);
  };

  private readonly enqueueIn = (
    queue: PoolQueue,
    lane: LaneView,
    tenant: TenantView,
    request: GatewayRequest,
  ): void => {
    if (this.queues.isTierFull(queue, tenant)) {
      this.rejector.reject(request, 'over_share', "the tier's share of the queue is full");
      return;
    }
    const now = this.context.ports.clock.now();
    if (queue.waiting.expectedWaitMs(tenant.name, now) > (request.deadlineAt - now) * maxWaitShare) {
      this.rejector.reject(request, 'no_capacity', 'the expected wait is too long for the deadline');
      return;
    }
    request.markQueued();
    const displaced = this.queues.put(queue, tenant, request, now);
    if (displaced !== null) this.rejector.reject(displaced, 'no_capacity', 'the queue is full');
    this.placeQueued(lane.poolName);
  };

  /** Removes a request from its queue; returns false if it was not queued. */
  readonly removeFromQueue = (request: GatewayRequest): boolean => this.queues.remove(request);

  /** Expected wait in the queue of the request's pool, in milliseconds. */
  readonly expectedWaitMs = (request: GatewayRequest): number => this.queues.expectedWaitMs(request);

  /** Rejects all queued requests if the committed state is not fresh. */
  readonly rejectQueuedIfNotFresh = (): void => {
    if (this.context.freshness.isFresh()) return;
    const detail = 'this gateway lost contact with the control nodes while the request was queued';
    for (const [, queue] of this.queues.entries())
      for (const request of queue.waiting.items()) this.rejector.reject(request, 'not_fresh', detail);
  };

  /** Rejects the requests that would miss their deadline, then places queued requests of all pools. */
  readonly placeAllQueued = (): void => {
    const now = this.context.ports.clock.now();
    for (const [, queue] of this.queues.entries()) {
      for (const request of queue.waiting.predictedDeadlineMisses(now, ({ deadlineAt }) => deadlineAt))
        this.rejector.reject(request, 'no_capacity', 'the expected wait is too long for the deadline');
    }
    for (const [poolName] of this.queues.entries()) this.placeQueued(poolName);
  };

  /** By pool: number of this gateway's queued requests, and number of its running ones. */
  readonly demands = (): PoolDemands =>
    Object.fromEntries(
      this.queues
        .entries()
        .map(([poolName, queue]) => [poolName, [queue.waiting.size(), this.ownRunning(poolName)] as const]),
    );

  private readonly ownRunning = (poolName: string): number =>
    this.context.stateView
      .inPool(poolName)
      .reduce((sum, record) => sum + this.context.replicaTracker.ownRunning(record.name), 0);

  /** Places queued requests of a pool until no more can be placed. */
  readonly placeQueued = (poolName: string): void => {
    const queue = this.queues.of(poolName);
    while (
      this.context.freshness.isFresh() &&
      queue.waiting.heads().some((request) => this.placeOrReject(queue, request, poolName))
    );
  };

  /** Returns false if the request stays queued. */
  private readonly placeOrReject = (queue: PoolQueue, request: GatewayRequest, poolName: string): boolean => {
    const query = this.queries.of(request);
    const placed = query === null ? null : choosePlacement(this.context.stateView.index, query);
    if (placed !== null) {
      this.queues.dispatch(queue, request);
      this.send(request, placed);
      return true;
    }
    if (this.context.stateView.inPool(poolName).some((record) => !request.avoided.has(record.name))) return false;
    const hasFailed = request.attempts > 0 && request.retryAfterSeconds === null;
    const code = hasFailed ? 'replica_failed' : 'no_capacity';
    this.rejector.reject(request, code, 'the pool has no untried ready replica');
    return true;
  };

  /** Explains to operators how a request would be placed now. */
  readonly explain: PlacementExplanation['of'] = (laneName, tenantName, prompt) =>
    this.explanation.of(laneName, tenantName, prompt);

  /** The depths of all queues, by pool. */
  readonly depths: PoolQueues['depths'] = () => this.queues.depths();

  /** Replaces the contention of the pools, as the control nodes report it. */
  readonly updateContention: PlacementQueries['updateContention'] = (contention) =>
    this.queries.updateContention(contention);

  /** Records by how many milliseconds a cache transfer exceeded its forecast. */
  readonly recordTransferExcess = (holder: string, receiver: string, excessMs: number): void =>
    this.queries.transferTracker.record(holder, receiver, excessMs);

  /** Called when the state changed: rejects a request that lost its grant, requeues one whose pool or tier changed. */
  readonly recheckGrant = (request: GatewayRequest): void => {
    const { lane, tenant } = request;
    if (lane === null || tenant === null) return;
    const isMoved = grants.of(this.context.stateView.view(), request).match(
      (next) =>
        next.lane.poolName !== lane.poolName ||
        next.tenant.tierName !== tenant.tierName ||
        next.tenant.tier.rank !== tenant.tier.rank,
      () => false,
    );
    const wasQueued = isMoved && this.removeFromQueue(request);
    if (this.refreshGrant(request) && wasQueued) this.enqueue(request);
  };
}
