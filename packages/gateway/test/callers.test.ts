import { expect } from 'chai';
import { InvariantChecker, keyOf, sampleWorkload, SimFleet } from '@martenworks/test-fleet';
import type { SampleRequest, HttpReply } from '@martenworks/test-fleet';

const bearer = (key: string): Record<string, string> => ({ authorization: `Bearer ${key}` });

const raised = async (
  more: Partial<ConstructorParameters<typeof SimFleet>[0]> = {},
): Promise<{ fleet: SimFleet; checker: InvariantChecker }> => {
  const fleet = new SimFleet({ seed: 3, edges: 2, replicas: 3, ...more });
  await fleet.up();
  return { fleet, checker: new InvariantChecker(fleet) };
};

const ask = (fleet: SimFleet, kind: SampleRequest['kind'], tenant: string, tail = 'one'): SampleRequest => ({
  ...sampleWorkload.request(fleet.world.random, 1),
  kind,
  tenant,
  key: keyOf(tenant),
  prompt: `${'prefix '.repeat(100)}${tail}`,
  maxTokens: 8,
});

const post = (
  fleet: SimFleet,
  body: unknown,
  headers: Record<string, string>,
  path = '/v1/completions',
): Promise<HttpReply> => fleet.finish(fleet.call(`http://${fleet.gatewayHosts[0]}:7101${path}`, 'POST', body, headers));

describe('callers', () => {
  it('given each wrong request, when it is sent, then its status, type and ran are told at once', async () => {
    const { fleet } = await raised({
      gatewaySettings: { bodyLimitBytes: 4_096 },
      config: {
        ...sampleWorkload.config('weights-1'),
        lanes: { ...(sampleWorkload.config('weights-1').lanes as object), secret: { pool: 'main', repeat: 'freely' } },
      },
    });
    const good = { model: 'query', prompt: 'hello', max_tokens: 4 };
    const key = bearer(keyOf('north'));
    const cases: [string, unknown, Record<string, string>, number, string][] = [
      ['no object', [1], key, 400, 'bad_request'],
      ['no lane', { prompt: 'hello' }, key, 400, 'bad_request'],
      ['no prompt', { model: 'query' }, key, 400, 'bad_request'],
      ['no key', good, {}, 401, 'unknown_key'],
      ['unknown key', good, bearer('nobody-knows-it'), 401, 'unknown_key'],
      ['lane not granted', { ...good, model: 'secret' }, key, 403, 'lane_not_granted'],
      ['absent lane', { ...good, model: 'absent' }, key, 404, 'unknown_lane'],
      ['too large', { ...good, prompt: 'x'.repeat(5_000) }, key, 413, 'too_large'],
    ];
    for (const [what, body, headers, status, type] of cases) {
      const begin = fleet.world.time;
      const told = await post(fleet, body, headers);
      const error = told.body.error as { type: string; ran: string };
      expect([what, told.status, error?.type, error?.ran]).to.deep.equal([what, status, type, 'no']);
      expect(fleet.world.time - begin).to.be.lessThan(100);
    }
    const whole = await post(fleet, good, key);
    expect(whole.status).to.equal(200);
    expect((whole.body.choices as { text: string }[])[0]?.text.length).to.be.greaterThan(10);
    const chat = await post(
      fleet,
      { model: 'query', messages: [{ role: 'user', content: 'hello' }], max_tokens: 4 },
      key,
      '/v1/chat/completions',
    );
    expect((chat.body.choices as { message: { role: string } }[])[0]?.message.role).to.equal('assistant');
  });

  it('given a tenant over its rate, when it asks on, then it gets 429 with Retry-After and its peers do not', async () => {
    const config = sampleWorkload.config('weights-1');
    const tenants = config.tenants as Record<string, Record<string, unknown>>;
    const { fleet, checker } = await raised({
      config: { ...config, tenants: { ...tenants, north: { ...tenants.north, ratePerSecond: 4 } } },
    });
    for (let at = 0; at < 20; at += 1) {
      checker.send(ask(fleet, 'query', 'north', `n${at}`), 0);
      checker.send(ask(fleet, 'query', 'south', `s${at}`), 0);
    }
    await fleet.world.run(5_000);
    const north = checker.calls.filter((call) => call.request.tenant === 'north');
    expect(
      north.filter((call) => call.status === 429 && call.ran === 'no' && call.retryAfter !== null).length,
    ).to.equal(16);
    expect(
      checker.calls.filter((call) => call.request.tenant === 'south').every((call) => call.outcome === 'whole'),
    ).to.equal(true);
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given a tier with a small share of the queue, when its requests pile up, then it is denied over its share while another tier still queues', async () => {
    const config = sampleWorkload.config('weights-1');
    const { fleet, checker } = await raised({
      gatewaySettings: { queueLimit: 20 },
      replicaSettings: { decodeMs: 100 },
      config: {
        ...config,
        tiers: { prompt: { rank: 0 }, steady: { rank: 1, share: 0.1 }, patient: { rank: 3 } },
        pools: { main: { weights: 'weights-1', slots: 1 }, app: { weights: 'app-1' } },
      },
    });
    for (let at = 0; at < 12; at += 1) checker.send(ask(fleet, 'query', 'harbor', `h${at}`), 0);
    for (let at = 0; at < 8; at += 1) checker.send(ask(fleet, 'query', 'north', `n${at}`), 0);
    await fleet.world.run(20_000);
    const harbor = checker.calls.filter((call) => call.request.tenant === 'harbor');
    expect(
      harbor.filter(
        (call) => call.code === 'over_share' && call.status === 429 && call.ran === 'no' && call.retryAfter !== null,
      ).length,
    ).to.be.greaterThan(4);
    expect(
      checker.calls.filter((call) => call.request.tenant === 'north').every((call) => call.outcome === 'whole'),
    ).to.equal(true);
  });

  it('given a caller that leaves mid-stream or in the queue, when it has left, then its run is cancelled or never begun', async () => {
    const { fleet, checker } = await raised({
      replicaSettings: { decodeMs: 50 },
      config: {
        ...sampleWorkload.config('weights-1'),
        pools: { main: { weights: 'weights-1', slots: 1 }, app: { weights: 'app-1' } },
      },
    });
    const quits = Array.from({ length: 12 }, () => new AbortController());
    const calls = quits.map((quit, at) =>
      checker.send({ ...ask(fleet, 'query', 'north', `n${at}`), maxTokens: 200 }, 0, { signal: quit.signal }),
    );
    await fleet.world.run(1_000);
    const before = checker.allRuns().length;
    expect(before).to.be.greaterThan(0).and.lessThan(calls.length);
    for (const quit of quits) quit.abort();
    await fleet.world.run(3_000);
    expect(checker.allRuns().length).to.equal(before);
    expect(checker.allRuns().some((run) => run.isFinished)).to.equal(false);
    expect(fleet.gateways[0]?.stages.live.size).to.equal(0);
    checker.send(ask(fleet, 'query', 'south', 'after'), 0);
    await fleet.world.run(3_000);
    expect(checker.calls.at(-1)?.outcome).to.equal('whole');
  });

  it('given a reader that stops reading, when the replica could send on, then the gateway takes no more pieces than it can pass on', async () => {
    const { fleet } = await raised();
    const quit = new AbortController();
    const response = await fleet.finish(
      fleet.world
        .machine('10.9.0.1')
        .httpClient()
        .send({
          method: 'POST',
          url: `http://${fleet.gatewayHosts[0]}:7101/v1/completions`,
          headers: { 'content-type': 'application/json', ...bearer(keyOf('north')) },
          body: JSON.stringify({ model: 'query', prompt: 'hello', max_tokens: 2_000, stream: true }),
          signal: quit.signal,
          gate: () => true,
        }),
    );
    const body = response._unsafeUnwrap().body[Symbol.asyncIterator]();
    await fleet.finish(body.next());
    const standIns = [...fleet.runningReplicas.values()];
    await fleet.world.run(5_000);
    expect(standIns.reduce((sum, standIn) => sum + standIn.piecesSaid, 0)).to.be.lessThan(10);
    quit.abort();
    await fleet.world.run(2_000);
    expect(fleet.gateways[0]?.stages.live.size).to.equal(0);
  });

  it('given a replica that cuts its stream midway, when the caller reads on, then an error event ends it, and the connection breaks', async () => {
    const { fleet, checker } = await raised();
    for (const standIn of fleet.runningReplicas.values()) standIn.faults.truncateAfterPieces = 3;
    const streamed = checker.send(ask(fleet, 'query', 'north'), 0);
    const whole = checker.send(ask(fleet, 'query', 'north'), 0, { whole: true });
    await fleet.world.run(2_000);
    expect([streamed.outcome, streamed.ran, streamed.text.split(' ').length]).to.deep.equal(['cut', 'unknown', 4]);
    expect([whole.outcome, whole.status, whole.code, whole.ran]).to.deep.equal([
      'denied',
      502,
      'cut_stream',
      'unknown',
    ]);
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given the deadline of a request, when no piece came by then, then it is denied at that moment with Retry-After', async () => {
    const { fleet, checker } = await raised({ replicaSettings: { decodeMs: 5_000 } });
    const call = checker.send(ask(fleet, 'confirm', 'north'), 0, { deadlineMs: 700 });
    await fleet.world.run(20_000);
    expect([call.status, call.code, call.ran]).to.deep.equal([503, 'horizon_passed', 'unknown']);
    expect(call.retryAfter).to.not.equal(null);
    expect(call.endedAt - call.sentAt).to.be.within(695, 720);
  });

  it('given requests that wait in a gateway, when it loses the control nodes, then each is denied within two seconds, not at its deadline', async () => {
    const { fleet, checker } = await raised({
      replicaSettings: { decodeMs: 400 },
      config: {
        ...sampleWorkload.config('weights-1'),
        pools: { main: { weights: 'weights-1', slots: 1 }, app: { weights: 'app-1' } },
      },
    });
    const calls = Array.from({ length: 14 }, (_, at) =>
      checker.send({ ...ask(fleet, 'query', 'north', `n${at}`), maxTokens: 20 }, 0, { deadlineMs: 60_000 }),
    );
    await fleet.world.run(500);
    for (const host of fleet.controlNodeHosts) fleet.world.partition(fleet.gatewayHosts[0] as string, host);
    await fleet.world.run(2_100);
    const waiting = calls.filter((call) => call.outcome === 'denied');
    expect(waiting.length)
      .to.equal(calls.length - checker.allRuns().length)
      .and.greaterThan(8);
    for (const call of waiting) expect([call.code, call.ran, call.retryAfter]).to.deep.equal(['not_fresh', 'no', '1']);
    await fleet.world.run(20_000);
    expect(checker.violations()).to.deep.equal([]);
  });

  it("given a tenant that is made isolated, when its requests wait, then they run as the isolated tenant's", async () => {
    const { fleet, checker } = await raised({
      replicaSettings: { decodeMs: 100 },
      config: {
        ...sampleWorkload.config('weights-1'),
        tenants: { north: { tier: 'prompt', lanes: ['query'] }, south: { tier: 'prompt', lanes: ['query'] } },
        pools: { main: { weights: 'weights-1', slots: 1 }, app: { weights: 'app-1' } },
      },
      tenants: ['north', 'south'],
    });
    for (let at = 0; at < 14; at += 1) checker.send(ask(fleet, 'query', 'north', `n${at}`), 0, { deadlineMs: 60_000 });
    await fleet.world.run(200);
    const put = await fleet.finish(
      fleet.onControlNode(
        0,
        'PATCH',
        '/operator/layout',
        { tenants: { north: { isolated: true } } },
        { 'if-match': '"1"' },
      ),
    );
    expect(put.status).to.equal(200);
    await fleet.world.run(500);
    const before = checker.allRuns().length;
    await fleet.world.run(40_000);
    expect(checker.allRuns().length).to.be.greaterThan(before);
    expect(
      checker
        .allRuns()
        .slice()
        .sort((a, b) => a.startedAt - b.startedAt)
        .slice(before)
        .every((run) => run.isIsolated),
    ).to.equal(true);
  });

  it('given the same Idempotency-Key at two gateways at once and again later, when all are answered, then one run served them all', async () => {
    const { fleet, checker } = await raised();
    const wanted = ask(fleet, 'book', 'north');
    checker.send(wanted, 0, { idempotencyKey: 'order-1' });
    checker.send(wanted, 1, { idempotencyKey: 'order-1' });
    await fleet.world.run(3_000);
    checker.send(wanted, 1, { idempotencyKey: 'order-1', whole: true });
    checker.send({ ...wanted, prompt: 'something else' }, 1, { idempotencyKey: 'order-1' });
    await fleet.world.run(3_000);
    expect(checker.allRuns().length).to.equal(1);
    const told = checker.calls.map((call) => (call.outcome === 'denied' ? call.code : call.outcome));
    expect(told.slice(0, 2)).to.include('whole');
    expect(['whole', 'in_progress']).to.include.members(told.slice(0, 2));
    expect(told.slice(2)).to.deep.equal(['whole', 'key_reused']);
    fleet.killCounter(0);
    fleet.killCounter(1);
    await fleet.bootCounter(1);
    await fleet.world.until('the counter is back', () => fleet.gateways[1]?.freshness.isFresh() === true);
    const late = checker.send(wanted, 1, { idempotencyKey: 'order-1' });
    await fleet.world.run(3_000);
    expect([late.status, late.code, late.ran]).to.deep.equal([409, 'outcome_unknown', 'unknown']);
    expect(checker.allRuns().length).to.equal(1);
  });

  it('given a claim whose request was proved not run, when the key comes again, then it runs', async () => {
    const { fleet, checker } = await raised();
    fleet.killReplica('app-1');
    const first = checker.send(ask(fleet, 'book', 'north'), 0, { idempotencyKey: 'order-2' });
    await fleet.world.run(2_000);
    expect([first.outcome, first.ran]).to.deep.equal(['denied', 'no']);
    fleet.bootReplica('app-1');
    await fleet.finish(fleet.announce('app-1'));
    await fleet.world.run(6_000);
    const second = checker.send(ask(fleet, 'book', 'north'), 1, { idempotencyKey: 'order-2' });
    await fleet.world.run(3_000);
    expect(second.outcome).to.equal('whole');
    expect(checker.violations()).to.deep.equal([]);
  });
});
