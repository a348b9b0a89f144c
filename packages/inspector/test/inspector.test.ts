import { expect } from 'chai';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { exitCodes, query } from '@martenworks/inspector';
import type { NodeRequest, Outcome } from '@martenworks/inspector';
import { SimFleet } from '@martenworks/test-fleet';

const startFleet = async (): Promise<{ fleet: SimFleet; run: (...words: string[]) => Promise<Outcome> }> => {
  const fleet = new SimFleet({ seed: 12, gatewayCount: 2, replicaCount: 5 });
  await fleet.up();
  await fleet.world.run(500);
  const requestNode: NodeRequest = async (address, path, options = {}) => {
    const reply = await fleet.call(`http://${address}${path}`, options.method ?? 'GET', options.body, options.headers);
    return reply.status === 0 ? null : reply;
  };
  const addresses = fleet.controlNodeHosts.map((host) => `${host}:7101`);
  return { fleet, run: (...words) => fleet.finish(query(requestNode, addresses, words)) };
};

describe('the inspector', () => {
  it('given a healthy fleet and then a stopped control node, when the nodes are queried, then each is listed, and the exit code and the note report the missing one', async () => {
    const { fleet, run } = await startFleet();
    const healthy = await run('nodes');
    expect(healthy.code).to.equal(exitCodes.success);
    expect(healthy.rows.map((row) => row.state)).to.deep.equal(['voter', 'voter', 'voter', 'fresh', 'fresh']);
    expect(new Set((await run('acks')).rows.map((row) => row.acked))).to.deep.equal(new Set([9]));
    expect((await run('nonsense')).code).to.equal(exitCodes.usage);
    fleet.killControlNode(2);
    const partial = await run('nodes');
    expect([partial.code, partial.note]).to.deep.equal([exitCodes.partial, 'not reached: postmaster-3']);
    for (const at of [0, 1]) fleet.killControlNode(at);
    expect((await run('nodes')).code).to.equal(exitCodes.unreachable);
  });

  it('given a request, when its placement is explained, then the candidates are listed with their costs, the cheapest first', async () => {
    const { run } = await startFleet();
    const explanation = await run('why', 'query', 'north', 'a prompt that is short');
    expect(explanation.rows.length).to.equal(5);
    const costs = explanation.rows.map((row) => row.costMs).filter((cost) => cost !== null) as number[];
    expect(costs.length).to.be.greaterThan(0);
    expect(costs).to.deep.equal([...costs].sort((a, b) => a - b));
    expect((await run('why', 'query', 'nobody', 'x')).code).to.equal(exitCodes.rejected);
  });

  it('given a planned JSON Patch, when another change is committed first, then the plan is rejected, and a new plan can be applied', async () => {
    const { fleet, run } = await startFleet();
    const file = join(mkdtempSync(join(tmpdir(), 'plan-')), 'patch.json');
    writeFileSync(
      file,
      JSON.stringify([
        { op: 'add', path: '/lanes/chat', value: { pool: 'main', repeat: 'freely' } },
        { op: 'replace', path: '/pools/main/weights', value: 'weights-2' },
      ]),
    );
    const planIdOf = (outcome: Outcome): string => /plan ([0-9a-f]+)/.exec(outcome.note ?? '')?.[1] ?? '';
    const first = await run('plan', file);
    expect(first.rows.map((row) => [row.op, row.path, row.after])).to.deep.equal([
      ['add', '/lanes/chat', { pool: 'main', repeat: 'freely' }],
      ['replace', '/pools/main/weights', 'weights-2'],
    ]);
    const rival = await fleet.finish(
      fleet.callControlNode(1, 'PATCH', '/operator/layout', { tiers: { extra: { rank: 5 } } }, { 'if-match': '"1"' }),
    );
    expect(rival.status).to.equal(200);
    expect((await run('apply', file, planIdOf(first))).code).to.equal(exitCodes.rejected);
    const second = planIdOf(await run('plan', file));
    expect((await run('apply', file, second)).code).to.equal(exitCodes.success);
    const config = (await run('layout')).rows[0]?.layout as {
      pools: { main: { weights: string } };
      tiers: Record<string, unknown>;
    };
    expect([config.pools.main.weights, 'extra' in config.tiers]).to.deep.equal(['weights-2', true]);
    writeFileSync(file, JSON.stringify([{ op: 'remove', path: '/pools/main' }]));
    const broken = await run('plan', file);
    expect(broken.code).to.equal(exitCodes.rejected);
    expect((broken.rows[0] as { complaints: { path: string }[] }).complaints[0]?.path).to.match(/^\/lanes\//);
    writeFileSync(file, JSON.stringify([{ op: 'replace', path: '/absent/thing', value: 1 }]));
    expect((await run('plan', file)).code).to.equal(exitCodes.rejected);
  });
});
