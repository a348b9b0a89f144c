import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { exitCodes } from '@martenworks/cli';
import { freeAddresses, runProgram } from './program.js';

const writeSettings = (folder: string, settings: Record<string, unknown>): string => {
  const path = join(folder, 'settings.json');
  writeFileSync(path, JSON.stringify(settings));
  return path;
};

const validSettings = {
  name: 'gateway-1',
  zone: 'a',
  peerAddress: '127.0.0.1:7101',
  http: '127.0.0.1:7102',
  seeds: ['127.0.0.1:7201', '127.0.0.1:7202', '127.0.0.1:7203'],
};

describe('the command line', () => {
  let folder = '';
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'martenworks-cli-'));
  });
  afterEach(() => rmSync(folder, { recursive: true }));

  it('given settings of an earlier release, when a role is run by its deprecated name, then it starts and warns of each deprecated name', async () => {
    const [peer = '', http = '', ...seeds] = freeAddresses(5);
    const file = writeSettings(folder, {
      name: 'gateway-1',
      zone: 'a',
      coach: peer,
      http,
      fronts: 2,
      drainMs: 100,
      seeds,
    });
    const result = await runProgram(['counter', '--env', file, '--coach-listen', peer], 'gateway started');
    expect(result.stderr.trim().split('\n').sort()).to.deep.equal([
      'martenworks: counter is called gateway now',
      'martenworks: deprecated setting coach: use peerAddress',
      'martenworks: deprecated setting coachListen: use peerListenAddress',
      'martenworks: deprecated setting env: use settings',
      'martenworks: deprecated setting fronts: use gatewayCount',
    ]);
    expect(result.stdout).to.include(peer).and.to.include(http);
    expect(result.code).to.equal(exitCodes.success);
  });

  it('given current names only, when a role is run, then there are no warnings', async () => {
    const [peerAddress = '', http = '', ...seeds] = freeAddresses(5);
    const file = writeSettings(folder, { ...validSettings, peerAddress, http, seeds, drainMs: 100 });
    const result = await runProgram(['gateway', '--settings', file], 'gateway started');
    expect(result.stderr).to.equal('');
    expect(result.code).to.equal(exitCodes.success);
  });

  for (const [deprecated, current] of [
    ['counter', 'gateway'],
    ['postmaster', 'gateway-control'],
  ] as const)
    it(`given the deprecated role name ${deprecated}, when its help is requested, then the usage page of ${current} is printed with a warning`, async () => {
      const [deprecatedRun, currentRun] = await Promise.all([
        runProgram([deprecated, '--help']),
        runProgram([current, '--help']),
      ]);
      expect(deprecatedRun).to.deep.equal({
        ...currentRun,
        stderr: `martenworks: ${deprecated} is called ${current} now\n`,
      });
      expect(currentRun).to.include({ code: exitCodes.success, stderr: '' });
      expect(currentRun.stdout).to.match(new RegExp(`^martenworks ${current}: `));
    });

  for (const [deprecated, current] of [
    ['counter', 'gateway'],
    ['postmaster', 'gateway-control'],
  ] as const)
    it(`given a valid file, when it is checked as the deprecated kind ${deprecated}, then it is reported as a valid file of ${current} with a warning`, async () => {
      const file = writeSettings(folder, current === 'gateway' ? validSettings : { ...validSettings, data: folder });
      expect(await runProgram(['check', file, '--as', deprecated])).to.deep.equal({
        code: exitCodes.success,
        stdout: `${file}: a valid ${current} settings file\n`,
        stderr: `martenworks: ${deprecated} is called ${current} now\n`,
      });
    });

  for (const [title, args, message] of [
    ['an unknown role', ['nonsense'], /^martenworks: no such role: nonsense\n/],
    ['a role name that is a property of every object', ['constructor'], /^martenworks: no such role: constructor\n/],
    ['an unknown flag of a role', ['gateway', '--nonsense', '1'], /^flags: Unknown option '--nonsense'/],
    ['an unknown flag of check', ['check', '--nonsense'], /^Unknown option '--nonsense'/],
    ['an unknown kind of file', ['check', 'file', '--as', 'nonsense'], /^usage: martenworks check/],
    ['check without a file', ['check'], /^usage: martenworks check/],
    ['an unknown flag of recover', ['recover', '--nonsense'], /^Unknown option '--nonsense'/],
    ['recover without members', ['recover', '--data', 'folder'], /^martenworks recover --data/],
    ['an absent settings file', ['gateway', '--settings', 'absent.json'], /^absent\.json: /],
  ] as const)
    it(`given ${title}, when the command is run, then it is rejected with exit code 2`, async () => {
      const result = await runProgram(args);
      expect(result).to.include({ code: exitCodes.invalidSettings, stdout: '' });
      expect(result.stderr).to.match(message);
    });

  for (const [title, settings, message] of [
    ['an unknown key', { ...validSettings, nonsense: 1 }, '/nonsense: nonsense must be removed\n'],
    ['a list in place of an object', [validSettings], 'must be a JSON object\n'],
  ] as const)
    it(`given a settings file with ${title}, when a role is run, then it is rejected with exit code 2`, async () => {
      const file = writeSettings(folder, settings as Record<string, unknown>);
      const result = await runProgram(['gateway', '--settings', file]);
      expect(result).to.include({ code: exitCodes.invalidSettings, stdout: '' });
      expect(result.stderr.endsWith(message), result.stderr).to.equal(true);
    });
});
