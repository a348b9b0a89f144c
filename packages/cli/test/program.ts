/** Runs the program `martenworks` in a separate process. */
import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const programPath = fileURLToPath(new URL('martenworks.js', import.meta.resolve('@martenworks/cli')));
/** After this a program counts as hung; far longer than a start takes on a heavily overloaded machine. */
const timeoutMs = 90_000;

/** The result of a run; `code` is null if the program was killed. */
export interface ProgramRun {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs the program to its end. Sends SIGTERM once stdout contains `stopAt`, and SIGKILL after the timeout. */
export const runProgram = (args: readonly string[], stopAt?: string): Promise<ProgramRun> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [programPath, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
    const kill = setTimeout(() => child.kill('SIGKILL'), timeoutMs);
    let stdout = '';
    let stderr = '';
    let isStopping = false;
    child.stderr.on('data', (bytes: Buffer) => {
      stderr += bytes.toString();
    });
    child.stdout.on('data', (bytes: Buffer) => {
      stdout += bytes.toString();
      if (stopAt === undefined || isStopping || !stdout.includes(stopAt)) return;
      isStopping = true;
      child.kill('SIGTERM');
    });
    child.on('close', (code) => {
      clearTimeout(kill);
      resolve({ code, stdout, stderr });
    });
  });

const port = 7_100;
const randomByte = (): number => 1 + Math.floor(Math.random() * 250);

/**
 * Returns this many distinct loopback addresses. Each has its own random host and a port below the ephemeral range, so
 * that neither another test nor an outgoing connection uses it.
 */
export const freeAddresses = (count: number): string[] => {
  const hosts = new Set<string>();
  while (hosts.size < count) hosts.add(`127.${randomByte()}.${randomByte()}.${randomByte()}`);
  return [...hosts].map((host) => `${host}:${port}`);
};
