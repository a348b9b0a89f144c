/** Runs the real program `martenworks` in a process of its own. */
import { spawn } from 'node:child_process';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';

const programPath = fileURLToPath(new URL('martenworks.js', import.meta.resolve('@martenworks/cli')));
const timeoutMs = 20_000;

/** How a run ended; `code` is null when it had to be killed. */
export interface ProgramRun {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs the program to its end; it gets a SIGTERM once stdout holds `stopAt`, and is killed after twenty seconds. */
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

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });

/** This many different loopback addresses with ports that were free a moment ago. */
export const freeAddresses = async (count: number): Promise<string[]> => {
  const found = new Set<string>();
  while (found.size < count) found.add(`127.0.0.1:${await freePort()}`);
  return [...found];
};
