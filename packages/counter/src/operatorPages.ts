import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { Counter } from './counter.js';

export const operatorPages = (counter: Counter, vitals: () => string[] = () => []): Hono => {
  const app = new Hono();
  app.get('/healthz', (c) => c.json({ status: 'ok' }));
  app.get('/status', (c) =>
    c.json({
      name: counter.env.name,
      zone: counter.env.zone,
      incarnation: counter.incarnation,
      generation: counter.book.generation(),
      fresh: counter.freshness.isFresh(),
      voices: counter.freshness.voiceCount(),
      live: counter.stages.live.size,
      queues: counter.stages.placing.depths(),
      budgets: counter.stages.sending.budgetsLeft(),
      replicas: counter.tracks.all(),
      index: counter.book.index.sizes(),
    }),
  );
  app.post('/why', bodyLimit({ maxSize: counter.env.bodyLimitBytes }), async (c) => {
    const asked = (await c.req.json().catch(() => null)) as {
      lane?: unknown;
      tenant?: unknown;
      prompt?: unknown;
    } | null;
    if (typeof asked?.lane !== 'string' || typeof asked.tenant !== 'string' || typeof asked.prompt !== 'string')
      return c.json({ detail: 'lane, tenant and prompt must be text' }, 400);
    const lines = counter.stages.placing.why(asked.lane, asked.tenant, asked.prompt);
    return lines === null
      ? c.json({ detail: 'no such lane or tenant' }, 404)
      : c.json({ counter: counter.env.name, candidates: lines });
  });
  app.get('/metrics', (c) => {
    const lines = [
      `martenworks_generation ${counter.book.generation()}`,
      `martenworks_fresh ${counter.freshness.isFresh() ? 1 : 0}`,
      `martenworks_live ${counter.stages.live.size}`,
      ...vitals(),
      ...counter.tally.lines().map((line) => `martenworks_${line}`),
    ];
    return c.text(`${lines.join('\n')}\n`);
  });
  return app;
};
