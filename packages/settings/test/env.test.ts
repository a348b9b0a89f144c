import { expect } from 'chai';
import { envs } from '@martenworks/settings';
import type { Role } from '@martenworks/settings';

const sound = {
  name: 'n-1',
  zone: 'a',
  coach: '10.0.0.1:7100',
  http: '10.0.0.1:7101',
  seeds: ['10.0.0.1:7100', '10.0.0.2:7100', '10.0.0.3:7100'],
};

const pathsOf = (role: Role, more: Record<string, unknown>): string[] =>
  envs.check(role, { ...sound, ...more }, {}).match(
    () => [],
    (faults) => faults.map((fault) => fault.path),
  );

describe('settings', () => {
  it('given each faulty setting, when an env is checked, then its path is named; and a sound one passes', () => {
    const cases: [Role, Record<string, unknown>, string[]][] = [
      ['counter', {}, []],
      ['counter', { operators: '10.0.0.1:7102', coachListen: '10.0.0.9:7100' }, []],
      ['counter', { operators: 'nowhere' }, ['/operators']],
      ['counter', { operators: sound.http }, ['/operators']],
      ['counter', { operators: sound.coach }, ['/operators']],
      ['counter', { coachListen: '10.0.0.1' }, ['/coachListen']],
      ['counter', { unheardOf: 1 }, ['/unheardOf']],
      ['counter', { seeds: sound.seeds.slice(1) }, ['/seeds']],
      ['postmaster', {}, ['/data']],
      ['postmaster', { data: 'd', operators: '10.0.0.1:7102' }, ['/operators']],
      ['postmaster', { data: 'd' }, []],
    ];
    for (const [role, more, paths] of cases)
      expect(pathsOf(role, more), JSON.stringify([role, more])).to.deep.equal(paths);
  });
});
