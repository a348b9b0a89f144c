import { expect } from 'chai';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { exitCodes, query } from '@martenworks/inspector';
import type { NodeRequest, Outcome } from '@martenworks/inspector';
import { SimFleet } from '@martenworks/test-fleet';

const raised = async (): Promise<{ fleet: SimFleet; see: (...words: string[]) => Promise<Outcome> }> => {
  const fleet = new SimFleet({ seed: 12, edges: 2, replicas: 5 });
  await fleet.up();
  await fleet.world.run(500);
  const ask: NodeRequest = async (address, path, more = {}) => {
    const told = await fleet.call(`http://${address}${path}`, more.method ?? 'GET', more.body, more.headers);
    return told.status === 0 ? null : told;
  };
  const addresses = fleet.controlNodeHosts.map((host) => `${host}:7101`);
  return { fleet, see: (...words) => fleet.finish(query(ask, addresses, words)) };
};

describe('the inspector', () => {
  it('given a whole fleet and then a dead gateway, when its nodes are asked for, then each is told and the absent one is named by the code', async () => {
    const { fleet, see } = await raised();
    const whole = await see('nodes');
    expect(whole.code).to.equal(exitCodes.fine);
    expect(whole.rows.map((row) => row.state)).to.deep.equal(['voter', 'voter', 'voter', 'fresh', 'fresh']);
    expect(new Set((await see('acks')).rows.map((row) => row.acked))).to.deep.equal(new Set([9]));
    expect((await see('nonsense')).code).to.equal(exitCodes.usage);
    fleet.killControlNode(2);
    const partly = await see('nodes');
    expect([partly.code, partly.note]).to.deep.equal([exitCodes.partly, 'not reached: postmaster-3']);
    for (const at of [0, 1]) fleet.killControlNode(at);
    expect((await see('nodes')).code).to.equal(exitCodes.unreachable);
  });

  it('given a request, when it is asked why it would be placed, then the cheapest candidate comes first with its reasons', async () => {
    const { see } = await raised();
    const told = await see('why', 'query', 'north', 'a prompt that is short');
    expect(told.rows.length).to.equal(5);
    const costs = told.rows.map((row) => row.costMs).filter((cost) => cost !== null) as number[];
    expect(costs.length).to.be.greaterThan(0);
    expect(costs).to.deep.equal([...costs].sort((a, b) => a - b));
    expect((await see('why', 'query', 'nobody', 'x')).code).to.equal(exitCodes.refused);
  });

  it('given a JSON Patch, when it is planned and another change lands first, then the plan is refused, and a new plan applies once', async () => {
    const { fleet, see } = await raised();
    const file = join(mkdtempSync(join(tmpdir(), 'plan-')), 'patch.json');
    writeFileSync(
      file,
      JSON.stringify([
        { op: 'add', path: '/lanes/chat', value: { pool: 'main', repeat: 'freely' } },
        { op: 'replace', path: '/pools/main/weights', value: 'weights-2' },
      ]),
    );
    const planIdOf = (outcome: Outcome): string => /plan ([0-9a-f]+)/.exec(outcome.note ?? '')?.[1] ?? '';
    const first = await see('plan', file);
    expect(first.rows.map((row) => [row.op, row.path, row.after])).to.deep.equal([
      ['add', '/lanes/chat', { pool: 'main', repeat: 'freely' }],
      ['replace', '/pools/main/weights', 'weights-2'],
    ]);
    const rival = await fleet.finish(
      fleet.onControlNode(1, 'PATCH', '/operator/layout', { tiers: { extra: { rank: 5 } } }, { 'if-match': '"1"' }),
    );
    expect(rival.status).to.equal(200);
    expect((await see('apply', file, planIdOf(first))).code).to.equal(exitCodes.refused);
    const second = planIdOf(await see('plan', file));
    expect((await see('apply', file, second)).code).to.equal(exitCodes.fine);
    const config = (await see('layout')).rows[0]?.layout as {
      pools: { main: { weights: string } };
      tiers: Record<string, unknown>;
    };
    expect([config.pools.main.weights, 'extra' in config.tiers]).to.deep.equal(['weights-2', true]);
    writeFileSync(file, JSON.stringify([{ op: 'remove', path: '/pools/main' }]));
    const broken = await see('plan', file);
    expect(broken.code).to.equal(exitCodes.refused);
    expect((broken.rows[0] as { complaints: { path: string }[] }).complaints[0]?.path).to.match(/^\/lanes\//);
    writeFileSync(file, JSON.stringify([{ op: 'replace', path: '/absent/thing', value: 1 }]));
    expect((await see('plan', file)).code).to.equal(exitCodes.refused);
  });
});
