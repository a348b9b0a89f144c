import { spawn } from 'node:child_process';
import { expect } from 'chai';

const library = import.meta.resolve('@martenworks/cli');
const program = `
  import { shutdownSignal } from ${JSON.stringify(library)};
  const stopSignal = shutdownSignal();
  console.log('up');
  setInterval(() => {}, 1_000);
  console.log('draining after ' + await stopSignal);
  setTimeout(() => { console.log('drained'); process.exit(0); }, 1_500);
`;

interface Ended {
  readonly code: number | null;
  readonly signal: string | null;
  readonly stdout: string;
}

/** Runs the program; it gets each signal once its output holds the text beside it. */
const run = (signals: readonly (readonly [after: string, signal: NodeJS.Signals])[]): Promise<Ended> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', program], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const left = [...signals];
    let stdout = '';
    child.stdout.on('data', (bytes: Buffer) => {
      stdout += bytes.toString();
      for (let next = left[0]; next !== undefined && stdout.includes(next[0]); next = left[0]) {
        left.shift();
        child.kill(next[1]);
      }
    });
    child.once('close', (code, signal) => resolve({ code, signal, stdout }));
  });

describe('the signals that stop a role', () => {
  it('given a role that drains after SIGTERM, when SIGTERM comes again and again, then it drains to its end', async () => {
    const ended = await run([
      ['up', 'SIGTERM'],
      ['draining', 'SIGTERM'],
      ['draining', 'SIGTERM'],
    ]);
    expect(ended).to.deep.equal({ code: 0, signal: null, stdout: 'up\ndraining after SIGTERM\ndrained\n' });
  });

  it('given a role at a terminal, when SIGINT comes twice, then the second ends it at once', async () => {
    const ended = await run([
      ['up', 'SIGINT'],
      ['draining', 'SIGINT'],
    ]);
    expect(ended).to.include({ signal: 'SIGINT' });
    expect(ended.stdout).not.to.include('drained');
  });

  it('given a role that drains after SIGTERM, when SIGINT comes, then it ends at once', async () => {
    const ended = await run([
      ['up', 'SIGTERM'],
      ['draining', 'SIGINT'],
    ]);
    expect(ended).to.include({ signal: 'SIGINT' });
  });
});
