/** The HTTP API for operators: status, metrics, and placement explanations. */
import { Hono } from 'hono';
import type { Context } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { Gateway } from '../gateway.js';

type MetricLines = () => string[];

const noProcessMetrics: MetricLines = () => [];

const statusOf = (gateway: Gateway): Record<string, unknown> => ({
  name: gateway.settings.name,
  zone: gateway.settings.zone,
  incarnation: gateway.incarnation,
  generation: gateway.stateView.logIndex(),
  fresh: gateway.freshness.isFresh(),
  voices: gateway.freshness.freshNodeCount(),
  live: gateway.stages.live.size,
  queues: gateway.stages.placementStage.depths(),
  budgets: gateway.stages.sendStage.remainingBudgets(),
  replicas: gateway.replicaTracker.all(),
  index: gateway.stateView.index.sizes(),
});

const metricLines = (gateway: Gateway, processMetrics: MetricLines): string[] => [
  `martenworks_generation ${gateway.stateView.logIndex()}`,
  `martenworks_fresh ${gateway.freshness.isFresh() ? 1 : 0}`,
  `martenworks_live ${gateway.stages.live.size}`,
  ...processMetrics(),
  ...gateway.metrics.lines().map((line) => `martenworks_${line}`),
];

const explainPlacement = async (gateway: Gateway, c: Context): Promise<Response> => {
  const body: unknown = await c.req.json().catch(() => null);
  const { lane, tenant, prompt } = (body ?? {}) as { lane?: unknown; tenant?: unknown; prompt?: unknown };
  if (typeof lane !== 'string' || typeof tenant !== 'string' || typeof prompt !== 'string')
    return c.json({ detail: 'lane, tenant and prompt must be strings' }, 400);
  const candidates = gateway.stages.placementStage.explain(lane, tenant, prompt);
  return candidates === null
    ? c.json({ detail: 'no such lane or tenant' }, 404)
    : c.json({ counter: gateway.settings.name, candidates });
};

/** Creates the routes of one gateway's operator address; `processMetrics` returns further lines for `/metrics`. */
export const operatorPages = (gateway: Gateway, processMetrics = noProcessMetrics): Hono => {
  const app = new Hono();
  const limited = bodyLimit({ maxSize: gateway.settings.bodyLimitBytes });
  app.get('/healthz', (c) => c.json({ status: 'ok' }));
  app.get('/status', (c) => c.json(statusOf(gateway)));
  app.post('/why', limited, (c) => explainPlacement(gateway, c));
  app.get('/metrics', (c) => c.text(`${metricLines(gateway, processMetrics).join('\n')}\n`));
  return app;
};
