/**
 * The operator HTTP API of a gateway control node (docs/wire.md): configuration, plans, lookup of changes by id,
 * status, health and metrics.
 */
import { Hono } from 'hono';
import type { Context } from 'hono';
import { createPlan, planIds } from '../configuration/plan.js';
import type { GatewayConfigEdit } from '../configuration/plan.js';
import type { GatewayControlNode } from '../nodes/gatewayControlNode.js';
import type { AppliedChange } from '../consensus/proposer.js';
import type { ProposalError } from '../errors.js';
import type { Result } from 'neverthrow';

/**
 * Returns the HTTP response to a proposed change: 200 if it was accepted, 409 for `conflict`, 422 for `rejected`, 504
 * for `unknown` and 503 for `unavailable`.
 */
export const changeResponse = (
  c: Context,
  changeId: string,
  outcome: Result<AppliedChange, ProposalError>,
): Response => {
  if (outcome.isOk())
    return c.json(
      { outcome: 'accepted', changeId, generation: outcome.value.logIndex, repeated: outcome.value.isRepeat },
      200,
      { etag: `"${outcome.value.logIndex}"` },
    );
  const { error } = outcome;
  switch (error.code) {
    case 'conflict':
      return c.json(
        { outcome: 'conflict', changeId, layoutGeneration: error.configLogIndex, detail: error.detail },
        409,
      );
    case 'rejected':
      return c.json({ outcome: 'rejected', changeId, complaints: error.complaints }, 422);
    case 'unknown':
      return c.json(
        { outcome: 'unknown', changeId, detail: 'look the change up by this id, or send it again under the same id' },
        504,
        { 'retry-after': '1' },
      );
    case 'unavailable':
      return c.json({ outcome: 'not accepted', changeId, detail: error.detail }, 503, { 'retry-after': '1' });
  }
};

/** Parses the request body as JSON; returns `isJson: false` and `value: null` if it is not valid JSON. */
export const readJsonBody = async (c: Context): Promise<{ isJson: boolean; value: unknown }> => {
  try {
    return { isJson: true, value: (await c.req.json()) as unknown };
  } catch {
    return { isJson: false, value: null };
  }
};

/** Returns the `change-id` header, or a new random id. A change sent again under the same id is applied once. */
export const changeIdOf = (c: Context, controlNode: GatewayControlNode): string =>
  c.req.header('change-id') ?? controlNode.ports.random.token(12);

const baseOf = (c: Context): number | null => {
  const match = /^"?(\d+)"?$/.exec(c.req.header('if-match') ?? '');
  return match === null ? null : Number(match[1]);
};

const editOf = (c: Context, kind: 'whole' | 'part', value: unknown): GatewayConfigEdit =>
  kind === 'part' && (c.req.header('content-type') ?? '').startsWith('application/json-patch+json')
    ? { kind: 'ops', given: value }
    : { kind, given: value };

const handleConfigChange = async (
  c: Context,
  controlNode: GatewayControlNode,
  kind: 'whole' | 'part',
): Promise<Response> => {
  const changeId = changeIdOf(c, controlNode);
  const base = baseOf(c);
  if (base === null)
    return c.json(
      { outcome: 'rejected', changeId, detail: 'If-Match must name the generation that this change is based on' },
      428,
    );
  const body = await readJsonBody(c);
  if (!body.isJson) return c.json({ outcome: 'rejected', changeId, detail: 'the body is not JSON' }, 400);
  const edit = editOf(c, kind, body.value);
  const planId = c.req.header('plan-id');
  if (planId !== undefined && planId !== planIds.of(base, edit))
    return c.json(
      { outcome: 'conflict', changeId, detail: 'the plan was made for another base generation or another change' },
      409,
    );
  return changeResponse(c, changeId, await controlNode.changeService.changeConfig(changeId, base, edit));
};

const noMajorityDetail = 'no majority of voters confirmed the state';

const unconfirmedResponse = (c: Context): Response => c.json({ detail: noMajorityDetail }, 503, { 'retry-after': '1' });

const addLayoutRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  app.get('/operator/layout', async (c) => {
    const state = await controlNode.confirmedState();
    if (state === null) return unconfirmedResponse(c);
    return c.json({ generation: state.configLogIndex, confirmed: true, layout: state.config }, 200, {
      etag: `"${state.configLogIndex}"`,
    });
  });
  app.put('/operator/layout', (c) => handleConfigChange(c, controlNode, 'whole'));
  app.patch('/operator/layout', (c) => handleConfigChange(c, controlNode, 'part'));
};

const addPlanRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  app.post('/operator/plans', async (c) => {
    const body = await readJsonBody(c);
    if (!body.isJson) return c.json({ outcome: 'rejected', detail: 'the body is not JSON' }, 400);
    const state = await controlNode.confirmedState();
    if (state === null) return unconfirmedResponse(c);
    const base = baseOf(c) ?? state.configLogIndex;
    if (base !== state.configLogIndex)
      return c.json(
        {
          outcome: 'conflict',
          layoutGeneration: state.configLogIndex,
          detail: `the layout is at generation ${state.configLogIndex}`,
        },
        409,
      );
    const planned = createPlan(state, editOf(c, 'part', body.value));
    return planned.match(
      (plan) => c.json(plan, 200, { etag: `"${base}"` }),
      (complaints) => c.json({ outcome: 'rejected', complaints }, 422),
    );
  });
};

const addChangeRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  app.get('/operator/changes/:id', async (c) => {
    const id = c.req.param('id');
    const state = await controlNode.confirmedState();
    if (state === null)
      return c.json({ outcome: 'unknown', changeId: id, detail: noMajorityDetail }, 504, { 'retry-after': '1' });
    const accepted = Object.hasOwn(state.changeIds, id) ? state.changeIds[id] : undefined;
    if (accepted !== undefined) return c.json({ outcome: 'accepted', changeId: id, generation: accepted.logIndex });
    return c.json(
      {
        outcome: 'not accepted',
        changeId: id,
        detail: 'not accepted so far; a change still in progress may be accepted later',
      },
      404,
    );
  });
};

const addStatusRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  app.get('/operator/status', (c) => {
    const state = controlNode.acceptor.committedState();
    return c.json({
      name: controlNode.settings.name,
      zone: controlNode.settings.zone,
      incarnation: controlNode.acceptor.incarnation,
      generation: state?.logIndex ?? null,
      layoutGeneration: state?.configLogIndex ?? null,
      members: state?.members ?? [],
      voter: controlNode.acceptor.isVoter(),
      reachable: controlNode.reachableVoterCount(),
      controlNodes: controlNode.memberList
        .entries()
        .filter(({ hello }) => hello.role === 'control')
        .map(({ hello, ageMs }) => ({
          name: hello.name,
          http: hello.http,
          incarnation: hello.incarnation,
          zone: hello.zone,
          heardMsAgo: Math.round(ageMs),
        })),
      counters: controlNode.gatewayPublisher.status(),
      claims: controlNode.claimTable.size(),
      leases: controlNode.leaseManager.status(),
      followed: controlNode.kvEventFollower.followedCount(),
      watch: controlNode.failureVerdicts.status(),
      replicas: controlNode.replicaTable.records(),
      index: controlNode.kvEventFollower.sizes(),
      segmentCount: controlNode.acceptor.segmentCount(),
    });
  });
};

const addHealthRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  app.get('/healthz', (c) => c.json({ status: 'ok' }));
  app.get('/readyz', (c) =>
    controlNode.isReady()
      ? c.json({ status: 'ready' })
      : c.json({ status: 'not ready', detail: 'no majority of control nodes' }, 503, { 'retry-after': '1' }),
  );
};

const addMetricsRoutes = (app: Hono, controlNode: GatewayControlNode, extraMetrics: () => string[]): void => {
  app.get('/metrics', (c) => {
    const state = controlNode.acceptor.committedState();
    const lines = [
      `martenworks_generation ${state?.logIndex ?? -1}`,
      `martenworks_members_reachable ${controlNode.reachableVoterCount()}`,
      `martenworks_subscribed_counters ${controlNode.gatewayPublisher.status().length}`,
      `martenworks_ledger_segments ${controlNode.acceptor.segmentCount()}`,
      ...extraMetrics(),
      ...controlNode.gatewayPublisher
        .status()
        .map((ack) => `martenworks_acked_generation{counter="${ack.gateway}"} ${ack.logIndex}`),
    ];
    return c.text(`${lines.join('\n')}\n`);
  });
};

/**
 * Returns the routes of one node. `extraMetrics` returns further lines for `/metrics`, in the Prometheus text format.
 */
export const operatorApi = (controlNode: GatewayControlNode, extraMetrics: () => string[] = () => []): Hono => {
  const app = new Hono();
  addLayoutRoutes(app, controlNode);
  addPlanRoutes(app, controlNode);
  addChangeRoutes(app, controlNode);
  addStatusRoutes(app, controlNode);
  addHealthRoutes(app, controlNode);
  addMetricsRoutes(app, controlNode, extraMetrics);
  return app;
};
