/** The HTTP pages for operators: status, metrics, and how a request would be placed. */
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { Gateway } from '../gateway.js';

/** The routes of one gateway's operator address; `vitals` gives further lines for the metrics page. */
export const operatorPages = (gateway: Gateway, vitals: () => string[] = () => []): Hono => {
  const app = new Hono();
  app.get('/healthz', (c) => c.json({ status: 'ok' }));
  app.get('/status', (c) =>
    c.json({
      name: gateway.settings.name,
      zone: gateway.settings.zone,
      incarnation: gateway.incarnation,
      generation: gateway.stateView.logIndex(),
      fresh: gateway.freshness.isFresh(),
      voices: gateway.freshness.voiceCount(),
      live: gateway.stages.live.size,
      queues: gateway.stages.placementStage.depths(),
      budgets: gateway.stages.sending.budgetsLeft(),
      replicas: gateway.replicaTracker.all(),
      index: gateway.stateView.index.sizes(),
    }),
  );
  app.post('/why', bodyLimit({ maxSize: gateway.settings.bodyLimitBytes }), async (c) => {
    const asked = (await c.req.json().catch(() => null)) as {
      lane?: unknown;
      tenant?: unknown;
      prompt?: unknown;
    } | null;
    if (typeof asked?.lane !== 'string' || typeof asked.tenant !== 'string' || typeof asked.prompt !== 'string')
      return c.json({ detail: 'lane, tenant and prompt must be text' }, 400);
    const lines = gateway.stages.placementStage.explain(asked.lane, asked.tenant, asked.prompt);
    return lines === null
      ? c.json({ detail: 'no such lane or tenant' }, 404)
      : c.json({ counter: gateway.settings.name, candidates: lines });
  });
  app.get('/metrics', (c) => {
    const lines = [
      `martenworks_generation ${gateway.stateView.logIndex()}`,
      `martenworks_fresh ${gateway.freshness.isFresh() ? 1 : 0}`,
      `martenworks_live ${gateway.stages.live.size}`,
      ...vitals(),
      ...gateway.metrics.lines().map((line) => `martenworks_${line}`),
    ];
    return c.text(`${lines.join('\n')}\n`);
  });
  return app;
};
