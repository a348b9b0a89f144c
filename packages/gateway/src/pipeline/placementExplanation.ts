/** Explains to operators how a request would be placed now. */
import { prompts } from '@martenworks/core-types';
import type { ReplicaRecord } from '@martenworks/core-types';
import { estimatePlacements } from '@martenworks/prefix-index';
import type { PlacementQuery } from '@martenworks/prefix-index';
import { GatewayRequest, isolationScopes } from '../gatewayRequest.js';
import type { LaneView, TenantView } from '../state/gatewayConfigView.js';
import type { PlacementQueries } from './placementQueries.js';
import type { StageContext } from './stageContext.js';

/** One replica of the lane's pool with the inputs and results of its placement estimate; sent in replies to `/why`. */
export interface ExplainedReplica {
  readonly replica: string;
  readonly state: string;
  readonly tenantPartition: string;
  readonly keptTokens: number;
  /** Whether other replicas may pull the prompt's prefix from it. */
  readonly mayBeNamed: boolean;
  readonly running: number;
  readonly holder: string | null;
  /** Null if the replica is not a candidate; so is `costMs`. */
  readonly prefillTokens: number | null;
  readonly costMs: number | null;
}

type PlacementEstimate = ReturnType<typeof estimatePlacements>[number];

const hypotheticalRequest = (lane: LaneView, tenant: TenantView, prompt: string, now: number): GatewayRequest => {
  const completion = {
    requestId: 'why',
    key: null,
    path: '/v1/completions' as const,
    body: {},
    deadlineMs: null,
    idempotencyKey: null,
    signal: new AbortController().signal,
  };
  const request = new GatewayRequest(completion, now, () => {});
  request.tenant = tenant;
  request.lane = lane;
  request.blocks = prompts.blocks(prompt);
  request.promptTokens = prompts.tokens(prompt);
  return request;
};

const oneDecimal = (value: number): number => Math.round(value * 10) / 10;

const cheapestFirst = (a: ExplainedReplica, b: ExplainedReplica): number =>
  (a.costMs ?? Number.POSITIVE_INFINITY) - (b.costMs ?? Number.POSITIVE_INFINITY);

/** Explains placements of one gateway. */
export class PlacementExplanation {
  constructor(
    private readonly context: StageContext,
    private readonly queries: PlacementQueries,
  ) {}

  /** The replicas of the lane's pool, the cheapest first; null if the lane or the tenant is unknown. */
  readonly of = (laneName: string, tenantName: string, prompt: string): ExplainedReplica[] | null => {
    const { stateView, ports } = this.context;
    const view = stateView.view();
    const lane = view?.lanes.get(laneName);
    const tenant = view?.tenants.get(tenantName);
    if (lane === undefined || tenant === undefined) return null;
    const request = hypotheticalRequest(lane, tenant, prompt, ports.clock.now());
    const query = this.queries.of(request);
    const estimates = query === null ? [] : estimatePlacements(stateView.index, query);
    return stateView
      .records()
      .filter((record) => record.pool === lane.poolName)
      .map((record) => this.explanationOf(record, request, query, estimates))
      .sort(cheapestFirst);
  };

  private readonly explanationOf = (
    record: ReplicaRecord,
    request: GatewayRequest,
    query: PlacementQuery | null,
    estimates: readonly PlacementEstimate[],
  ): ExplainedReplica => {
    const { stateView, replicaTracker, ports } = this.context;
    const estimate = estimates.find((one) => one.record.name === record.name);
    const scope = isolationScopes.of(request);
    const match = stateView.index.match(record.name, request.blocks, scope, ports.clock.now());
    const partition = stateView.tenantPartitions.roles().find(({ replica }) => replica === record.name);
    return {
      replica: record.name,
      state: record.state,
      tenantPartition: partition?.role ?? 'none',
      keptTokens: match.blockCount * prompts.blockTokens,
      mayBeNamed: query?.holders.some((holder) => holder.name === record.name) === true && match.canBeSource,
      running: replicaTracker.running(record.name),
      holder: estimate?.holder?.name ?? null,
      prefillTokens: estimate?.prefilledTokens ?? null,
      costMs: estimate === undefined ? null : oneDecimal(estimate.costMs),
    };
  };
}
