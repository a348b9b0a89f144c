import { expect } from 'chai';
import { gatewaySettings } from '@martenworks/settings';
import type { Role } from '@martenworks/settings';

const sound = {
  name: 'n-1',
  zone: 'a',
  peerAddress: '10.0.0.1:7100',
  http: '10.0.0.1:7101',
  seeds: ['10.0.0.1:7100', '10.0.0.2:7100', '10.0.0.3:7100'],
};

const pathsOf = (role: Role, more: Record<string, unknown>): string[] =>
  gatewaySettings.check(role, { ...sound, ...more }, {}).match(
    () => [],
    (faults) => faults.map((fault) => fault.path),
  );

describe('settings', () => {
  it('given each faulty setting, when an env is checked, then its path is named; and a sound one passes', () => {
    const cases: [Role, Record<string, unknown>, string[]][] = [
      ['gateway', {}, []],
      ['gateway', { operators: '10.0.0.1:7102', peerListenAddress: '10.0.0.9:7100' }, []],
      ['gateway', { operators: 'nowhere' }, ['/operators']],
      ['gateway', { operators: sound.http }, ['/operators']],
      ['gateway', { operators: sound.peerAddress }, ['/operators']],
      ['gateway', { peerListenAddress: '10.0.0.1' }, ['/peerListenAddress']],
      ['gateway', { unheardOf: 1 }, ['/unheardOf']],
      ['gateway', { seeds: sound.seeds.slice(1) }, ['/seeds']],
      ['gateway-control', {}, ['/data']],
      ['gateway-control', { data: 'd', operators: '10.0.0.1:7102' }, ['/operators']],
      ['gateway-control', { data: 'd' }, []],
    ];
    for (const [role, more, paths] of cases)
      expect(pathsOf(role, more), JSON.stringify([role, more])).to.deep.equal(paths);
  });
});

describe('settings of earlier releases', () => {
  const former = { coach: sound.peerAddress, coachListen: '10.0.0.9:7100', fronts: 4 };
  const current = { peerAddress: sound.peerAddress, peerListenAddress: '10.0.0.9:7100', gatewayCount: 4 };
  const { peerAddress: _, ...others } = sound;

  it('given each old key, in a file or as a flag, when the settings are checked, then they are those of the new key', () => {
    const expected = gatewaySettings.check('gateway', { ...others, ...current }, {})._unsafeUnwrap();
    const asFlags = { coach: former.coach, coachListen: former.coachListen, fronts: String(former.fronts) };
    expect(gatewaySettings.check('gateway', { ...others, ...former }, {})._unsafeUnwrap()).to.deep.equal(expected);
    expect(gatewaySettings.check('gateway', others, asFlags)._unsafeUnwrap()).to.deep.equal(expected);
  });

  it('given old keys, when they are looked for, then one note for each names the new key; and new keys give none', () => {
    expect(gatewaySettings.deprecatedIn(former)).to.deep.equal([
      'coach: use peerAddress',
      'coachListen: use peerListenAddress',
      'fronts: use gatewayCount',
    ]);
    expect(gatewaySettings.deprecatedIn({ ...others, ...current })).to.deep.equal([]);
  });
});
