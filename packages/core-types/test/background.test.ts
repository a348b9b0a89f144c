import { execFile } from 'node:child_process';
import { expect } from 'chai';
import { BackgroundTaskError, uncaughtExceptions } from '@martenworks/core-types';

interface ProcessExit {
  readonly exitCode: number;
  readonly stdout: string;
}

const crashExitCode = 70;

/** Runs `body` in its own process, with the uncaught exception handler of the roles installed. */
const inProcess = (body: string): Promise<ProcessExit> => {
  const script = `
    import { background, uncaughtExceptions } from ${JSON.stringify(import.meta.resolve('@martenworks/core-types'))};
    const log = { error: (message, fields) => console.log(JSON.stringify({ message, ...fields })) };
    uncaughtExceptions.installHandler(log, ${crashExitCode});
    ${body}
  `;
  return new Promise((resolve) => {
    const child = execFile(process.execPath, ['--input-type=module', '--eval', script], (_fault, stdout) =>
      resolve({ exitCode: child.exitCode ?? -1, stdout }),
    );
  });
};

const reportsOf = ({ stdout }: ProcessExit): { code: string; task: string | null; cause: string }[] =>
  stdout
    .split('\n')
    .filter((line) => line.startsWith('{'))
    .map((line) => JSON.parse(line));

describe('background work', () => {
  it('given work that is rejected, when nobody awaits it, then one report with its code, task and cause is logged and the process ends', async () => {
    const exit = await inProcess(`
      background.run('trim claims', Promise.reject(new Error('the disk is gone')));
      setTimeout(() => console.log('went on'), 1_000);
    `);
    expect(exit.exitCode).to.equal(crashExitCode);
    expect(exit.stdout).not.to.include('went on');
    const [report, ...more] = reportsOf(exit);
    expect(more).to.deep.equal([]);
    expect(report).to.include({ code: 'BACKGROUND_TASK_FAILED', task: 'trim claims' });
    expect(report?.cause).to.match(/^Error: the disk is gone\n/);
  });

  it('given work that is rejected later and work that is rejected at once, when nobody awaits them, then the first rejection is reported and the process ends', async () => {
    const exit = await inProcess(`
      background.run('later', new Promise((_, fail) => setTimeout(() => fail(new Error('later')), 200)));
      background.run('at once', (async () => { throw new Error('at once'); })());
    `);
    expect(exit.exitCode).to.equal(crashExitCode);
    expect(reportsOf(exit).map(({ task }) => task)).to.deep.equal(['at once']);
  });

  it('given work that is fulfilled, when nobody awaits it, then nothing is logged and the process continues', async () => {
    const exit = await inProcess(`
      background.run('trim claims', Promise.resolve(1));
      setTimeout(() => console.log('went on'), 50);
    `);
    expect(exit).to.deep.equal({ exitCode: 0, stdout: 'went on\n' });
  });

  it('given a rejection outside background work, when nobody handles it, then it is reported and the process ends', async () => {
    const exit = await inProcess(`Promise.reject(new Error('forgotten'));`);
    expect(exit.exitCode).to.equal(crashExitCode);
    expect(reportsOf(exit).map(({ code, task }) => ({ code, task }))).to.deep.equal([
      { code: 'UNCAUGHT_EXCEPTION', task: null },
    ]);
  });

  it('given a reason that is not an Error, when it is reported, then its text is the cause', () => {
    expect(uncaughtExceptions.report(new BackgroundTaskError('trim claims', undefined))).to.deep.equal({
      code: 'BACKGROUND_TASK_FAILED',
      task: 'trim claims',
      cause: 'undefined',
    });
    expect(uncaughtExceptions.report('odd').cause).to.equal('odd');
  });
});
