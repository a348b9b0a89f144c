/** Third stage: holds admitted requests in their pool's queue and picks a replica for each. */
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

/** A forecast wait over this share of the time left is taken to pass the deadline. */
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

  /** Brings the request's lane and tenant up to date; rejects it and returns false if its grant is gone. */
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

  /** Queues a request, or rejects it at once when it cannot be served in time. */
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
      this.rejector.reject(request, 'over_share', "the tier's share of the queue is taken");
      return;
    }
    const now = this.context.ports.clock.now();
    if (queue.waiting.expectedWaitMs(tenant.name, now) > (request.deadlineAt - now) * maxWaitShare) {
      this.rejector.reject(request, 'no_capacity', 'the wait would pass the deadline');
      return;
    }
    request.markQueued();
    const displaced = this.queues.put(queue, tenant, request, now);
    if (displaced !== null) this.rejector.reject(displaced, 'no_capacity', 'the queue is full');
    this.placeQueued(lane.poolName);
  };

  /** Removes a request from its queue; false when it did not wait. */
  readonly removeFromQueue = (request: GatewayRequest): boolean => this.queues.remove(request);

  /** The expected wait of a request in its pool's queue, in milliseconds. */
  readonly expectedWaitMs = (request: GatewayRequest): number => this.queues.expectedWaitMs(request);

  /** Rejects every waiting request while the committed state is not fresh. */
  readonly rejectQueuedIfNotFresh = (): void => {
    if (this.context.freshness.isFresh()) return;
    const detail = 'this gateway lost touch with the control nodes while the request waited';
    for (const [, queue] of this.queues.entries())
      for (const request of queue.waiting.items()) this.rejector.reject(request, 'not_fresh', detail);
  };

  /** Rejects the requests that will miss their deadline, then places what can be placed in all pools. */
  readonly placeAllQueued = (): void => {
    const now = this.context.ports.clock.now();
    for (const [, queue] of this.queues.entries()) {
      for (const request of queue.waiting.predictedDeadlineMisses(now, ({ deadlineAt }) => deadlineAt))
        this.rejector.reject(request, 'no_capacity', 'the wait would pass the deadline');
    }
    for (const [poolName] of this.queues.entries()) this.placeQueued(poolName);
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
      .reduce((sum, record) => sum + this.context.replicaTracker.ownRunning(record.name), 0);

  /** Places waiting requests of a pool until none can be placed. */
  readonly placeQueued = (poolName: string): void => {
    const queue = this.queues.of(poolName);
    while (
      this.context.freshness.isFresh() &&
      queue.waiting.heads().some((request) => this.placeOrReject(queue, request, poolName))
    );
  };

  /** False when the request has to wait on. */
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
    this.rejector.reject(request, code, 'the pool has no ready replica left for this request');
    return true;
  };

  /** Explains to an operator how a request would be placed now. */
  readonly explain: PlacementExplanation['of'] = (laneName, tenantName, prompt) =>
    this.explanation.of(laneName, tenantName, prompt);

  /** The depths of all queues, by pool. */
  readonly depths: PoolQueues['depths'] = () => this.queues.depths();

  /** Takes how many gateways have requests waiting for each pool. */
  readonly updateContention: PlacementQueries['updateContention'] = (contention) =>
    this.queries.updateContention(contention);

  /** Takes by how many milliseconds a cache transfer took longer than forecast. */
  readonly recordTransferExcess = (holder: string, receiver: string, excessMs: number): void =>
    this.queries.transferTracker.record(holder, receiver, excessMs);

  /** After a change of the configuration: rejects a request that lost its grant, and requeues one that moved. */
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
