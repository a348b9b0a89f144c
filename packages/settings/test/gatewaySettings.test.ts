import { expect } from 'chai';
import { gatewaySettings } from '@martenworks/settings';
import type { Role } from '@martenworks/settings';

const validSettings = {
  name: 'n-1',
  zone: 'a',
  peerAddress: '10.0.0.1:7100',
  http: '10.0.0.1:7101',
  seeds: ['10.0.0.1:7100', '10.0.0.2:7100', '10.0.0.3:7100'],
};

const pathsOf = (role: Role, overrides: Record<string, unknown>): string[] =>
  gatewaySettings.check(role, { ...validSettings, ...overrides }, {}).match(
    () => [],
    (issues) => issues.map((issue) => issue.path),
  );

describe('gateway settings', () => {
  it('given an invalid setting, when the settings are checked, then its path is reported; and valid settings pass', () => {
    const cases: [Role, Record<string, unknown>, string[]][] = [
      ['gateway', {}, []],
      ['gateway', { operators: '10.0.0.1:7102', peerListenAddress: '10.0.0.9:7100' }, []],
      ['gateway', { operators: 'nowhere' }, ['/operators']],
      ['gateway', { operators: validSettings.http }, ['/operators']],
      ['gateway', { operators: validSettings.peerAddress }, ['/operators']],
      ['gateway', { peerListenAddress: '10.0.0.1' }, ['/peerListenAddress']],
      ['gateway', { unheardOf: 1 }, ['/unheardOf']],
      ['gateway', { seeds: validSettings.seeds.slice(1) }, ['/seeds']],
      ['gateway-control', {}, ['/data']],
      ['gateway-control', { data: 'd', operators: '10.0.0.1:7102' }, ['/operators']],
      ['gateway-control', { data: 'd' }, []],
    ];
    for (const [role, overrides, paths] of cases)
      expect(pathsOf(role, overrides), JSON.stringify([role, overrides])).to.deep.equal(paths);
  });
});

describe('gateway settings of earlier releases', () => {
  const deprecated = { coach: validSettings.peerAddress, coachListen: '10.0.0.9:7100', fronts: 4 };
  const current = { peerAddress: validSettings.peerAddress, peerListenAddress: '10.0.0.9:7100', gatewayCount: 4 };
  const { peerAddress: _, ...others } = validSettings;

  it('given old keys in a file or as flags, when the settings are checked, then the result equals that of the new keys', () => {
    const expected = gatewaySettings.check('gateway', { ...others, ...current }, {})._unsafeUnwrap();
    const asFlags = { coach: deprecated.coach, coachListen: deprecated.coachListen, fronts: String(deprecated.fronts) };
    expect(gatewaySettings.check('gateway', { ...others, ...deprecated }, {})._unsafeUnwrap()).to.deep.equal(expected);
    expect(gatewaySettings.check('gateway', others, asFlags)._unsafeUnwrap()).to.deep.equal(expected);
  });

  it('given old keys, when deprecation warnings are requested, then there is one for each old key with the new key, and none for new keys', () => {
    expect(gatewaySettings.deprecatedIn(deprecated)).to.deep.equal([
      'coach: use peerAddress',
      'coachListen: use peerListenAddress',
      'fronts: use gatewayCount',
    ]);
    expect(gatewaySettings.deprecatedIn({ ...others, ...current })).to.deep.equal([]);
  });
});
