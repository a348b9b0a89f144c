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

interface ProcessExit {
  readonly code: number | null;
  readonly signal: string | null;
  readonly stdout: string;
}

/** Runs the program and sends each signal once its output contains the text beside it. */
const run = (signals: readonly (readonly [after: string, signal: NodeJS.Signals])[]): Promise<ProcessExit> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', program], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const remaining = [...signals];
    let stdout = '';
    child.stdout.on('data', (bytes: Buffer) => {
      stdout += bytes.toString();
      for (let next = remaining[0]; next !== undefined && stdout.includes(next[0]); next = remaining[0]) {
        remaining.shift();
        child.kill(next[1]);
      }
    });
    child.once('close', (code, signal) => resolve({ code, signal, stdout }));
  });

describe('signals that stop a role', () => {
  it('given a role that drains after SIGTERM, when SIGTERM is sent again, then draining completes', async () => {
    const exit = await run([
      ['up', 'SIGTERM'],
      ['draining', 'SIGTERM'],
      ['draining', 'SIGTERM'],
    ]);
    expect(exit).to.deep.equal({ code: 0, signal: null, stdout: 'up\ndraining after SIGTERM\ndrained\n' });
  });

  it('given a role at a terminal, when SIGINT is sent twice, then the second ends it at once', async () => {
    const exit = await run([
      ['up', 'SIGINT'],
      ['draining', 'SIGINT'],
    ]);
    expect(exit).to.include({ signal: 'SIGINT' });
    expect(exit.stdout).not.to.include('drained');
  });

  it('given a role that drains after SIGTERM, when SIGINT is sent, then it ends at once', async () => {
    const exit = await run([
      ['up', 'SIGTERM'],
      ['draining', 'SIGINT'],
    ]);
    expect(exit).to.include({ signal: 'SIGINT' });
  });
});
