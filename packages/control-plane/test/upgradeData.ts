/** Data folders and settings files written by an earlier release; `data/upgrade/README.md` describes how. */
import { cpSync, mkdtempSync, readFileSync, readdirSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Disk, Member } from '@martenworks/core-types';

const folder = fileURLToPath(new URL('../../../../../packages/control-plane/test/data/upgrade/', import.meta.url));

/** State of one platform control node, as the earlier release read it from the folder. */
interface ControlNodeExpectation {
  readonly incarnation: string;
  /** Whether the node may take part in a cluster bootstrap. */
  readonly isFresh: boolean;
  readonly generation: number;
  readonly version: number;
  readonly hasSeat: boolean;
  readonly fences: [duty: string, fence: number][];
}

interface Expected {
  readonly core: {
    readonly seats: readonly Member[];
    readonly namedVersions: Record<string, number>;
    readonly version: number;
    readonly nodes: Record<string, ControlNodeExpectation>;
  };
  readonly postmaster: {
    readonly seats: readonly Member[];
    readonly keys: number;
    readonly claims: number;
    readonly replicas: readonly Record<string, unknown>[];
    readonly nodes: Record<
      string,
      { readonly incarnation: string; readonly isFresh: boolean; readonly generation: number }
    >;
    readonly fences: Record<string, number>;
  };
}

const text = (name: string): string => readFileSync(join(folder, name), 'utf8');

const json = (name: string): Record<string, unknown> => JSON.parse(text(name));

export const upgradeData = {
  expected: JSON.parse(text('expected.json')) as Expected,
  configuration: text('configuration.txt'),
  layoutPage: json('layout.json'),
  settings: (role: 'core' | 'edge' | 'postmaster' | 'counter'): Record<string, unknown> =>
    json(`settings/${role}.json`),
  settingsPath: (role: 'core' | 'edge'): string => join(folder, `settings/${role}.json`),
  /** Copies a node's data folder to a new temporary folder, and returns the path of the copy. */
  copyOf: (node: string): string => {
    const copy = mkdtempSync(join(tmpdir(), `${node}-`));
    cpSync(join(folder, node), copy, { recursive: true });
    return copy;
  },
  /** Writes the files of a node's data folder to a disk. */
  load: async (node: string, disk: Disk): Promise<void> => {
    for (const name of readdirSync(join(folder, node)))
      (await disk.replace(name, new Uint8Array(readFileSync(join(folder, node, name)))))._unsafeUnwrap();
  },
};
