import { expect } from 'chai';
import { gatewayConfigs } from '@martenworks/settings';

const validConfig = {
  tiers: { urgent: { rank: 0 } },
  pools: { main: { weights: 'w-8', store: 's-1' }, other: { weights: 'w-8', store: 's-1' } },
  lanes: { chat: { pool: 'main', repeat: 'once' } },
  tenants: { shop: { tier: 'urgent', lanes: ['chat'] } },
};

const issuesOf = (change: Record<string, unknown>): string[] =>
  gatewayConfigs.check({ ...validConfig, ...change }).match(
    () => [],
    (issues) => issues.map(({ path, message }) => `${path} ${message}`),
  );

describe('gateway configurations', () => {
  it('given a valid configuration, when it is checked, then missing fields get their defaults', () => {
    const config = gatewayConfigs.check(validConfig)._unsafeUnwrap();
    expect(config.tiers.urgent).to.deep.equal({ rank: 0, share: 1, horizonMs: 30_000 });
    expect(config.tenants.shop).to.deep.equal({
      tier: 'urgent',
      isolated: false,
      lanes: ['chat'],
      ratePerSecond: null,
    });
    expect(config.pools.main).to.include({ slots: 64, extraAllowance: 18, store: 's-1' });
  });

  it('given unknown references, invalid names and a store of two versions of weights, when the configuration is checked, then each is reported with its path', () => {
    const cases: [Record<string, unknown>, string[]][] = [
      [{}, []],
      [{ lanes: { chat: { pool: 'gone', repeat: 'once' } } }, ['/lanes/chat/pool refers to unknown pool gone']],
      [
        { tenants: { shop: { tier: 'slow', lanes: ['chat', 'voice'] } } },
        ['/tenants/shop/tier refers to unknown tier slow', '/tenants/shop/lanes/1 refers to unknown lane voice'],
      ],
      [
        { pools: { main: { weights: 'w-8', store: 's-1' }, other: { weights: 'w-9', store: 's-1' } } },
        ['/pools/other/store is also the store of pool main, which has other weights'],
      ],
      [
        { tiers: { urgent: { rank: 0 }, 'a b': { rank: 1 } } },
        ['/tiers/a b must be a name of letters, digits, dots and dashes, at most 64'],
      ],
    ];
    for (const [change, issues] of cases) expect(issuesOf(change), JSON.stringify(change)).to.deep.equal(issues);
  });

  it('given a merge patch (RFC 7396), when it is applied to a configuration, then null removes, objects merge and lists are replaced', () => {
    const current = gatewayConfigs.check(validConfig)._unsafeUnwrap();
    const merged = gatewayConfigs.merge(current, {
      pools: { other: null, main: { slots: 2 } },
      tenants: { shop: { lanes: [] } },
    });
    expect(merged).to.deep.equal({
      ...current,
      pools: { main: { ...current.pools.main, slots: 2 } },
      tenants: { shop: { ...current.tenants.shop, lanes: [] } },
    });
  });
});
