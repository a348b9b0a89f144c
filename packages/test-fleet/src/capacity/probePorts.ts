/** The ports of measured components: the machine's clock, metered connections and a temporary disk. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { logs, machine } from '@martenworks/core-types';
import type { Disk, Ports } from '@martenworks/core-types';
import { metered } from './meteredNet.js';
import type { Meter } from './meteredNet.js';

const folders: string[] = [];

/** Returns a disk in a new temporary folder, which is removed when the process exits. */
export const temporaryDisk = (): Disk => {
  const folder = mkdtempSync(join(tmpdir(), 'capacity-'));
  folders.push(folder);
  return machine.disk(folder);
};

process.on('exit', () => {
  for (const folder of folders) rmSync(folder, { recursive: true, force: true });
});

/** Returns ports of which only the clock, network and disk work. */
export const probePorts = (meter: Meter): Ports => ({
  clock: machine.clock,
  random: machine.random,
  net: metered(machine.net(null), meter),
  httpServer: { open: async () => Promise.reject(new Error('HTTP server not available in probes')) },
  httpClient: {
    send: async () => Promise.reject(new Error('HTTP client not available in probes')),
    close: async () => {},
  },
  disk: temporaryDisk(),
  log: logs.silent(),
});
