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
