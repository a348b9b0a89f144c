/** A simulated disk that tracks synced and unsynced bytes; it can fail, stall and lose unsynced bytes. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Disk, DiskError, DiskFile } from '@martenworks/core-types';

interface FileBytes {
  synced: Uint8Array;
  unsynced: Uint8Array;
}

/** The active faults; `delayMs` is added to every operation. */
export interface DiskFaults {
  isFull: boolean;
  failsSync: boolean;
  delayMs: number;
  isStalled: boolean;
}

const concatenated = (a: Uint8Array, b: Uint8Array): Uint8Array => {
  const bytes = new Uint8Array(a.length + b.length);
  bytes.set(a);
  bytes.set(b, a.length);
  return bytes;
};

const fault = (code: string): DiskError => ({ kind: 'disk', code, detail: code });

/** One operation that changes the disk, reported right before it takes effect. */
export interface DiskMutation {
  readonly operation: 'open' | 'append' | 'sync' | 'replace' | 'truncate' | 'remove';
  readonly name: string;
}

/**
 * A disk whose bytes are durable once synced, and whose file names are durable once the operation that created or
 * removed them has completed.
 */
export class SimDisk {
  /**
   * Called before each operation that changes the disk, so that a test can copy the disk as a power loss would leave
   * it, or end the process before the operation.
   */
  beforeMutation: (mutation: DiskMutation) => void = () => {};
  /** The bytes of each file by name. */
  readonly files = new Map<string, FileBytes>();
  /** The active faults. */
  readonly faults: DiskFaults = { isFull: false, failsSync: false, delayMs: 0, isStalled: false };
  /** Number of successful syncs. */
  syncs = 0;
  private stalled: (() => void)[] = [];

  constructor(private readonly wait: (delayMs: number) => Promise<void> = () => Promise.resolve()) {}

  /**
   * Simulates a power loss: drops unsynced bytes except for the given share of each file. The end of a process alone
   * loses nothing.
   */
  readonly crash = (unsyncedShareKept: number): void => {
    for (const stored of this.files.values()) {
      stored.synced = concatenated(
        stored.synced,
        stored.unsynced.subarray(0, Math.floor(stored.unsynced.length * unsyncedShareKept)),
      );
      stored.unsynced = new Uint8Array();
    }
  };

  /** Returns a copy of the current contents, with synced and unsynced bytes kept apart. */
  readonly copy = (): SimDisk => {
    const copy = new SimDisk();
    for (const [name, { synced, unsynced }] of this.files)
      copy.files.set(name, { synced: synced.slice(), unsynced: unsynced.slice() });
    return copy;
  };

  /** Removes all files. */
  readonly wipe = (): void => this.files.clear();

  /** Ends a stall: the waiting operations continue. */
  readonly unstall = (): void => {
    this.faults.isStalled = false;
    const waiting = this.stalled;
    this.stalled = [];
    for (const wake of waiting) wake();
  };

  private readonly awaitFaults = async (): Promise<void> => {
    if (this.faults.isStalled) await new Promise<void>((wake) => this.stalled.push(wake));
    if (this.faults.delayMs > 0) await this.wait(this.faults.delayMs);
  };

  /** Returns the disk as a process sees it; its operations never complete once `isLive` returns false. */
  readonly view = (isLive: () => boolean): Disk => {
    const neverResolves = new Promise<never>(() => {});
    const step = async <T>(work: () => Result<T, DiskError>): Promise<Result<T, DiskError>> => {
      await this.awaitFaults();
      return isLive() ? work() : neverResolves;
    };
    const change = async <T>(
      operation: DiskMutation['operation'],
      name: string,
      work: () => Result<T, DiskError>,
    ): Promise<Result<T, DiskError>> => {
      await this.awaitFaults();
      if (isLive()) this.beforeMutation({ operation, name });
      return isLive() ? work() : neverResolves;
    };
    const sync = (name: string): Promise<Result<void, DiskError>> =>
      change('sync', name, () => {
        if (this.faults.failsSync) return err(fault('EIO'));
        const stored = this.files.get(name);
        if (stored === undefined) return err(fault('ENOENT'));
        stored.synced = concatenated(stored.synced, stored.unsynced);
        stored.unsynced = new Uint8Array();
        this.syncs += 1;
        return ok(undefined);
      });
    const file = (name: string): DiskFile => ({
      append: (bytes) =>
        change('append', name, () => {
          const stored = this.files.get(name);
          if (stored === undefined) return err(fault('ENOENT'));
          if (this.faults.isFull) {
            stored.unsynced = concatenated(stored.unsynced, bytes.slice(0, Math.floor(bytes.length / 2)));
            return err(fault('ENOSPC'));
          }
          stored.unsynced = concatenated(stored.unsynced, bytes);
          return ok(undefined);
        }),
      sync: () => sync(name),
      close: async () => {},
    });
    return {
      list: () => step(() => ok([...this.files.keys()])),
      read: (name) =>
        step(() => {
          const stored = this.files.get(name);
          return ok(stored === undefined ? null : concatenated(stored.synced, stored.unsynced));
        }),
      open: (name) =>
        change('open', name, () => {
          if (this.faults.isFull && !this.files.has(name)) return err(fault('ENOSPC'));
          if (!this.files.has(name)) this.files.set(name, { synced: new Uint8Array(), unsynced: new Uint8Array() });
          return ok(file(name));
        }),
      replace: (name, bytes) =>
        change('replace', name, () => {
          if (this.faults.isFull) return err(fault('ENOSPC'));
          this.files.set(name, { synced: bytes.slice(), unsynced: new Uint8Array() });
          return ok(undefined);
        }),
      sync,
      truncate: (name, size) =>
        change('truncate', name, () => {
          const stored = this.files.get(name);
          if (stored === undefined) return ok(undefined);
          const bytes = concatenated(stored.synced, stored.unsynced);
          this.files.set(name, { synced: bytes.slice(0, size), unsynced: new Uint8Array() });
          return ok(undefined);
        }),
      remove: (name) =>
        change('remove', name, () => {
          this.files.delete(name);
          return ok(undefined);
        }),
    };
  };
}
