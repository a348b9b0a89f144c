import { expect } from 'chai';
import { InvariantChecker, keyOf, sampleWorkload, SimFleet } from '@martenworks/test-fleet';
import type { SampleRequest, HttpReply } from '@martenworks/test-fleet';

const bearer = (key: string): Record<string, string> => ({ authorization: `Bearer ${key}` });

const startFleet = async (
  more: Partial<ConstructorParameters<typeof SimFleet>[0]> = {},
): Promise<{ fleet: SimFleet; checker: InvariantChecker }> => {
  const fleet = new SimFleet({ seed: 3, gatewayCount: 2, replicaCount: 3, ...more });
  await fleet.up();
  return { fleet, checker: new InvariantChecker(fleet) };
};

const requestFor = (fleet: SimFleet, kind: SampleRequest['kind'], tenant: string, tail = 'one'): SampleRequest => ({
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

describe('caller API', () => {
  it('given invalid requests, when each is sent, then it is rejected immediately with the expected status, type and ran', async () => {
    const { fleet } = await startFleet({
      gatewaySettings: { bodyLimitBytes: 4_096 },
      config: {
        ...sampleWorkload.config('weights-1'),
        lanes: { ...(sampleWorkload.config('weights-1').lanes as object), secret: { pool: 'main', repeat: 'freely' } },
      },
    });
    const validBody = { model: 'query', prompt: 'hello', max_tokens: 4 };
    const key = bearer(keyOf('north'));
    const cases: [string, unknown, Record<string, string>, number, string][] = [
      ['no object', [1], key, 400, 'bad_request'],
      ['no lane', { prompt: 'hello' }, key, 400, 'bad_request'],
      ['no prompt', { model: 'query' }, key, 400, 'bad_request'],
      ['no key', validBody, {}, 401, 'unknown_key'],
      ['unknown key', validBody, bearer('nobody-knows-it'), 401, 'unknown_key'],
      ['lane not granted', { ...validBody, model: 'secret' }, key, 403, 'lane_not_granted'],
      ['absent lane', { ...validBody, model: 'absent' }, key, 404, 'unknown_lane'],
      ['too large', { ...validBody, prompt: 'x'.repeat(5_000) }, key, 413, 'too_large'],
    ];
    for (const [name, body, headers, status, type] of cases) {
      const sentAt = fleet.world.time;
      const reply = await post(fleet, body, headers);
      const error = reply.body.error as { type: string; ran: string };
      expect([name, reply.status, error?.type, error?.ran]).to.deep.equal([name, status, type, 'no']);
      expect(fleet.world.time - sentAt).to.be.lessThan(100);
    }
    const completion = await post(fleet, validBody, key);
    expect(completion.status).to.equal(200);
    expect((completion.body.choices as { text: string }[])[0]?.text.length).to.be.greaterThan(10);
    const chat = await post(
      fleet,
      { model: 'query', messages: [{ role: 'user', content: 'hello' }], max_tokens: 4 },
      key,
      '/v1/chat/completions',
    );
    expect((chat.body.choices as { message: { role: string } }[])[0]?.message.role).to.equal('assistant');
  });

  it('given a tenant over its rate limit, when it sends more requests, then it gets 429 with Retry-After and other tenants do not', async () => {
    const config = sampleWorkload.config('weights-1');
    const tenants = config.tenants as Record<string, Record<string, unknown>>;
    const { fleet, checker } = await startFleet({
      config: { ...config, tenants: { ...tenants, north: { ...tenants.north, ratePerSecond: 4 } } },
    });
    for (let at = 0; at < 20; at += 1) {
      checker.send(requestFor(fleet, 'query', 'north', `n${at}`), 0);
      checker.send(requestFor(fleet, 'query', 'south', `s${at}`), 0);
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

  it('given a tier with a small share of the queue, when its requests pile up, then they are rejected as over_share while another tier is still queued', async () => {
    const config = sampleWorkload.config('weights-1');
    const { fleet, checker } = await startFleet({
      gatewaySettings: { queueLimit: 20 },
      replicaSettings: { decodeMs: 100 },
      config: {
        ...config,
        tiers: { prompt: { rank: 0 }, steady: { rank: 1, share: 0.1 }, patient: { rank: 3 } },
        pools: { main: { weights: 'weights-1', slots: 1 }, app: { weights: 'app-1' } },
      },
    });
    for (let at = 0; at < 12; at += 1) checker.send(requestFor(fleet, 'query', 'harbor', `h${at}`), 0);
    for (let at = 0; at < 8; at += 1) checker.send(requestFor(fleet, 'query', 'north', `n${at}`), 0);
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

  it('given running and queued requests, when their callers disconnect, then the runs are cancelled and the queued requests never run', async () => {
    const { fleet, checker } = await startFleet({
      replicaSettings: { decodeMs: 50 },
      config: {
        ...sampleWorkload.config('weights-1'),
        pools: { main: { weights: 'weights-1', slots: 1 }, app: { weights: 'app-1' } },
      },
    });
    const abortControllers = Array.from({ length: 12 }, () => new AbortController());
    const calls = abortControllers.map((abortController, at) =>
      checker.send({ ...requestFor(fleet, 'query', 'north', `n${at}`), maxTokens: 200 }, 0, {
        signal: abortController.signal,
      }),
    );
    await fleet.world.run(1_000);
    const runsBefore = checker.allRuns().length;
    expect(runsBefore).to.be.greaterThan(0).and.lessThan(calls.length);
    for (const abortController of abortControllers) abortController.abort();
    await fleet.world.run(3_000);
    expect(checker.allRuns().length).to.equal(runsBefore);
    expect(checker.allRuns().some((run) => run.isFinished)).to.equal(false);
    expect(fleet.gateways[0]?.stages.live.size).to.equal(0);
    checker.send(requestFor(fleet, 'query', 'south', 'after'), 0);
    await fleet.world.run(3_000);
    expect(checker.calls.at(-1)?.outcome).to.equal('whole');
  });

  it('given a caller that stops reading its response, when the replica could send more, then the gateway reads no more chunks than it can forward', async () => {
    const { fleet } = await startFleet();
    const abortController = new AbortController();
    const response = await fleet.finish(
      fleet.world
        .machine('10.9.0.1')
        .httpClient()
        .send({
          method: 'POST',
          url: `http://${fleet.gatewayHosts[0]}:7101/v1/completions`,
          headers: { 'content-type': 'application/json', ...bearer(keyOf('north')) },
          body: JSON.stringify({ model: 'query', prompt: 'hello', max_tokens: 2_000, stream: true }),
          signal: abortController.signal,
          gate: () => true,
        }),
    );
    const body = response._unsafeUnwrap().body[Symbol.asyncIterator]();
    await fleet.finish(body.next());
    const replicas = [...fleet.runningReplicas.values()];
    await fleet.world.run(5_000);
    expect(replicas.reduce((sum, replica) => sum + replica.generatedTokens, 0)).to.be.lessThan(10);
    abortController.abort();
    await fleet.world.run(2_000);
    expect(fleet.gateways[0]?.stages.live.size).to.equal(0);
  });

  it('given a replica that truncates its stream, when the caller reads the response, then it ends with an error event and a reset connection, or with 502 if not streamed', async () => {
    const { fleet, checker } = await startFleet();
    for (const replica of fleet.runningReplicas.values()) replica.faults.truncateAfterChunks = 3;
    const streamed = checker.send(requestFor(fleet, 'query', 'north'), 0);
    const collected = checker.send(requestFor(fleet, 'query', 'north'), 0, { isBuffered: true });
    await fleet.world.run(2_000);
    expect([streamed.outcome, streamed.ran, streamed.text.split(' ').length]).to.deep.equal(['cut', 'unknown', 4]);
    expect([collected.outcome, collected.status, collected.code, collected.ran]).to.deep.equal([
      'denied',
      502,
      'cut_stream',
      'unknown',
    ]);
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given a request with a deadline, when no chunk has arrived by then, then it is rejected at that moment with Retry-After', async () => {
    const { fleet, checker } = await startFleet({ replicaSettings: { decodeMs: 5_000 } });
    const call = checker.send(requestFor(fleet, 'confirm', 'north'), 0, { deadlineMs: 700 });
    await fleet.world.run(20_000);
    expect([call.status, call.code, call.ran]).to.deep.equal([503, 'horizon_passed', 'unknown']);
    expect(call.retryAfter).to.not.equal(null);
    expect(call.endedAt - call.sentAt).to.be.within(695, 720);
  });

  it('given queued requests, when the gateway loses contact with the control nodes, then each is rejected within 2.1 s and not at its deadline', async () => {
    const { fleet, checker } = await startFleet({
      replicaSettings: { decodeMs: 400 },
      config: {
        ...sampleWorkload.config('weights-1'),
        pools: { main: { weights: 'weights-1', slots: 1 }, app: { weights: 'app-1' } },
      },
    });
    const calls = Array.from({ length: 14 }, (_, at) =>
      checker.send({ ...requestFor(fleet, 'query', 'north', `n${at}`), maxTokens: 20 }, 0, { deadlineMs: 60_000 }),
    );
    await fleet.world.run(500);
    for (const host of fleet.controlNodeHosts) fleet.world.partition(fleet.gatewayHosts[0] as string, host);
    await fleet.world.run(2_100);
    const rejected = calls.filter((call) => call.outcome === 'denied');
    expect(rejected.length)
      .to.equal(calls.length - checker.allRuns().length)
      .and.greaterThan(8);
    for (const call of rejected) expect([call.code, call.ran, call.retryAfter]).to.deep.equal(['not_fresh', 'no', '1']);
    await fleet.world.run(20_000);
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given queued requests of a tenant, when the tenant becomes isolated, then they run as requests of an isolated tenant', async () => {
    const { fleet, checker } = await startFleet({
      replicaSettings: { decodeMs: 100 },
      config: {
        ...sampleWorkload.config('weights-1'),
        tenants: { north: { tier: 'prompt', lanes: ['query'] }, south: { tier: 'prompt', lanes: ['query'] } },
        pools: { main: { weights: 'weights-1', slots: 1 }, app: { weights: 'app-1' } },
      },
      tenants: ['north', 'south'],
    });
    for (let at = 0; at < 14; at += 1)
      checker.send(requestFor(fleet, 'query', 'north', `n${at}`), 0, { deadlineMs: 60_000 });
    await fleet.world.run(200);
    const changed = await fleet.finish(
      fleet.callControlNode(
        0,
        'PATCH',
        '/operator/layout',
        { tenants: { north: { isolated: true } } },
        { 'if-match': '"1"' },
      ),
    );
    expect(changed.status).to.equal(200);
    await fleet.world.run(500);
    const runsBefore = checker.allRuns().length;
    await fleet.world.run(40_000);
    expect(checker.allRuns().length).to.be.greaterThan(runsBefore);
    expect(
      checker
        .allRuns()
        .slice()
        .sort((a, b) => a.startedAt - b.startedAt)
        .slice(runsBefore)
        .every((run) => run.isIsolated),
    ).to.equal(true);
  });

  it('given the same Idempotency-Key at two gateways at once and again later, when all requests have ended, then the request ran once', async () => {
    const { fleet, checker } = await startFleet();
    const request = requestFor(fleet, 'book', 'north');
    checker.send(request, 0, { idempotencyKey: 'order-1' });
    checker.send(request, 1, { idempotencyKey: 'order-1' });
    await fleet.world.run(3_000);
    checker.send(request, 1, { idempotencyKey: 'order-1', isBuffered: true });
    checker.send({ ...request, prompt: 'something else' }, 1, { idempotencyKey: 'order-1' });
    await fleet.world.run(3_000);
    expect(checker.allRuns().length).to.equal(1);
    const outcomes = checker.calls.map((call) => (call.outcome === 'denied' ? call.code : call.outcome));
    expect(outcomes.slice(0, 2)).to.include('whole');
    expect(['whole', 'in_progress']).to.include.members(outcomes.slice(0, 2));
    expect(outcomes.slice(2)).to.deep.equal(['whole', 'key_reused']);
    fleet.killGateway(0);
    fleet.killGateway(1);
    await fleet.bootGateway(1);
    await fleet.world.until('gateway 2 is fresh again', () => fleet.gateways[1]?.freshness.isFresh() === true);
    const afterRestart = checker.send(request, 1, { idempotencyKey: 'order-1' });
    await fleet.world.run(3_000);
    expect([afterRestart.status, afterRestart.code, afterRestart.ran]).to.deep.equal([
      409,
      'outcome_unknown',
      'unknown',
    ]);
    expect(checker.allRuns().length).to.equal(1);
  });

  it('given a claim whose request certainly did not run, when the Idempotency-Key is sent again, then the request runs', async () => {
    const { fleet, checker } = await startFleet();
    fleet.killReplica('app-1');
    const first = checker.send(requestFor(fleet, 'book', 'north'), 0, { idempotencyKey: 'order-2' });
    await fleet.world.run(2_000);
    expect([first.outcome, first.ran]).to.deep.equal(['denied', 'no']);
    fleet.bootReplica('app-1');
    await fleet.finish(fleet.announce('app-1'));
    await fleet.world.run(6_000);
    const second = checker.send(requestFor(fleet, 'book', 'north'), 1, { idempotencyKey: 'order-2' });
    await fleet.world.run(3_000);
    expect(second.outcome).to.equal('whole');
    expect(checker.violations()).to.deep.equal([]);
  });
});
