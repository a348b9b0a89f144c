import { Hono } from 'hono';
import type { Context } from 'hono';
import { drawPlan, planIds } from './plan.js';
import type { LayoutEdit } from './plan.js';
import type { Postmaster } from './postmaster.js';
import type { Applied, ProposeFault } from './proposer.js';
import type { Result } from 'neverthrow';

export const replyTo = (c: Context, changeId: string, outcome: Result<Applied, ProposeFault>): Response => {
  if (outcome.isOk())
    return c.json(
      { outcome: 'accepted', changeId, generation: outcome.value.generation, repeated: outcome.value.isRepeat },
      200,
      { etag: `"${outcome.value.generation}"` },
    );
  const fault = outcome.error;
  switch (fault.kind) {
    case 'conflict':
      return c.json(
        { outcome: 'conflict', changeId, layoutGeneration: fault.layoutGeneration, detail: fault.detail },
        409,
      );
    case 'rejected':
      return c.json({ outcome: 'rejected', changeId, complaints: fault.complaints }, 422);
    case 'unknown':
      return c.json(
        { outcome: 'unknown', changeId, detail: 'ask again by this change id, or send the change again under it' },
        504,
        { 'retry-after': '1' },
      );
    case 'unavailable':
      return c.json({ outcome: 'not accepted', changeId, detail: fault.detail }, 503, { 'retry-after': '1' });
  }
};

export const bodyOf = async (c: Context): Promise<{ isJson: boolean; value: unknown }> => {
  try {
    return { isJson: true, value: (await c.req.json()) as unknown };
  } catch {
    return { isJson: false, value: null };
  }
};

export const changeIdOf = (c: Context, postmaster: Postmaster): string =>
  c.req.header('change-id') ?? postmaster.ports.random.token(12);

const baseOf = (c: Context): number | null => {
  const found = /^"?(\d+)"?$/.exec(c.req.header('if-match') ?? '');
  return found === null ? null : Number(found[1]);
};

const editOf = (c: Context, kind: 'whole' | 'part', given: unknown): LayoutEdit =>
  kind === 'part' && (c.req.header('content-type') ?? '').startsWith('application/json-patch+json')
    ? { kind: 'ops', given }
    : { kind, given };

const changed = async (c: Context, postmaster: Postmaster, kind: 'whole' | 'part'): Promise<Response> => {
  const changeId = changeIdOf(c, postmaster);
  const base = baseOf(c);
  if (base === null)
    return c.json(
      { outcome: 'rejected', changeId, detail: 'If-Match must state the generation this change is based on' },
      428,
    );
  const body = await bodyOf(c);
  if (!body.isJson) return c.json({ outcome: 'rejected', changeId, detail: 'the body is not JSON' }, 400);
  const edit = editOf(c, kind, body.value);
  const planId = c.req.header('plan-id');
  if (planId !== undefined && planId !== planIds.of(base, edit))
    return c.json(
      { outcome: 'conflict', changeId, detail: 'that plan was made for another base or another change' },
      409,
    );
  return replyTo(c, changeId, await postmaster.changes.layout(changeId, base, edit));
};

const noMajority = 'no majority of voters confirmed the state';

const unconfirmed = (c: Context): Response => c.json({ detail: noMajority }, 503, { 'retry-after': '1' });

export const operatorWire = (postmaster: Postmaster, vitals: () => string[] = () => []): Hono => {
  const app = new Hono();
  app.get('/operator/layout', async (c) => {
    const state = await postmaster.confirmed();
    if (state === null) return unconfirmed(c);
    return c.json({ generation: state.layoutGeneration, confirmed: true, layout: state.layout }, 200, {
      etag: `"${state.layoutGeneration}"`,
    });
  });
  app.put('/operator/layout', (c) => changed(c, postmaster, 'whole'));
  app.patch('/operator/layout', (c) => changed(c, postmaster, 'part'));
  app.post('/operator/plans', async (c) => {
    const body = await bodyOf(c);
    if (!body.isJson) return c.json({ outcome: 'rejected', detail: 'the body is not JSON' }, 400);
    const state = await postmaster.confirmed();
    if (state === null) return unconfirmed(c);
    const base = baseOf(c) ?? state.layoutGeneration;
    if (base !== state.layoutGeneration)
      return c.json(
        {
          outcome: 'conflict',
          layoutGeneration: state.layoutGeneration,
          detail: `the layout is at generation ${state.layoutGeneration}`,
        },
        409,
      );
    const drawn = drawPlan(state, editOf(c, 'part', body.value));
    return drawn.match(
      (plan) => c.json(plan, 200, { etag: `"${base}"` }),
      (complaints) => c.json({ outcome: 'rejected', complaints }, 422),
    );
  });
  app.get('/operator/changes/:id', async (c) => {
    const id = c.req.param('id');
    const state = await postmaster.confirmed();
    if (state === null)
      return c.json({ outcome: 'unknown', changeId: id, detail: noMajority }, 504, { 'retry-after': '1' });
    const known = Object.hasOwn(state.changeIds, id) ? state.changeIds[id] : undefined;
    if (known !== undefined) return c.json({ outcome: 'accepted', changeId: id, generation: known.generation });
    return c.json(
      { outcome: 'not accepted', changeId: id, detail: 'not accepted so far; a change still under way may yet be' },
      404,
    );
  });
  app.get('/operator/status', (c) => {
    const state = postmaster.acceptor.agreed();
    return c.json({
      name: postmaster.env.name,
      zone: postmaster.env.zone,
      incarnation: postmaster.acceptor.incarnation,
      generation: state?.generation ?? null,
      layoutGeneration: state?.layoutGeneration ?? null,
      members: state?.members ?? [],
      voter: postmaster.acceptor.isVoter(),
      reachable: postmaster.reachable(),
      postmasters: postmaster.roster
        .entries()
        .filter(({ hello }) => hello.role === 'postmaster')
        .map(({ hello, ageMs }) => ({
          name: hello.name,
          http: hello.http,
          incarnation: hello.incarnation,
          zone: hello.zone,
          heardMsAgo: Math.round(ageMs),
        })),
      counters: postmaster.push.acks(),
      claims: postmaster.claims.size(),
      leases: postmaster.duties.lines(),
      followed: postmaster.kv.followedCount(),
      watch: postmaster.verdicts.lines(),
      replicas: postmaster.table.records(),
      index: postmaster.kv.sizes(),
      segmentCount: postmaster.acceptor.segmentCount(),
    });
  });
  app.get('/healthz', (c) => c.json({ status: 'ok' }));
  app.get('/readyz', (c) =>
    postmaster.isReady()
      ? c.json({ status: 'ready' })
      : c.json({ status: 'not ready', detail: 'no majority of postmasters' }, 503, { 'retry-after': '1' }),
  );
  app.get('/metrics', (c) => {
    const state = postmaster.acceptor.agreed();
    const lines = [
      `martenworks_generation ${state?.generation ?? -1}`,
      `martenworks_members_reachable ${postmaster.reachable()}`,
      `martenworks_subscribed_counters ${postmaster.push.acks().length}`,
      `martenworks_ledger_segments ${postmaster.acceptor.segmentCount()}`,
      ...vitals(),
      ...postmaster.push
        .acks()
        .map((ack) => `martenworks_acked_generation{counter="${ack.counter}"} ${ack.generation}`),
    ];
    return c.text(`${lines.join('\n')}\n`);
  });
  return app;
};
