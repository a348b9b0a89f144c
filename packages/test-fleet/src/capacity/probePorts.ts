/** The ports that measured parts run on: the machine's clock, metered connections and a temporary disk. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { logs, machine } from '@martenworks/core-types';
import type { Disk, Ports } from '@martenworks/core-types';
import { metered } from './meteredNet.js';
import type { Meter } from './meteredNet.js';

const folders: string[] = [];

/** A new folder of its own, removed when the process ends. */
export const temporaryDisk = (): Disk => {
  const folder = mkdtempSync(join(tmpdir(), 'capacity-'));
  folders.push(folder);
  return machine.disk(folder);
};

process.on('exit', () => {
  for (const folder of folders) rmSync(folder, { recursive: true, force: true });
});

/** Ports of a node of which only clock, network and disk are used. */
export const probePorts = (meter: Meter): Ports => ({
  clock: machine.clock,
  random: machine.random,
  net: metered(machine.net(null), meter),
  httpServer: { open: async () => Promise.reject(new Error('no door')) },
  httpClient: { send: async () => Promise.reject(new Error('no carriage')), close: async () => {} },
  disk: temporaryDisk(),
  log: logs.silent(),
});
