/** A simulated disk that tells synced from unsynced bytes, and that may fail, stall and lose what was not synced. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Disk, DiskError, DiskFile } from '@martenworks/core-types';

interface FileBytes {
  synced: Uint8Array;
  unsynced: Uint8Array;
}

/** Faults in force; `delayMs` is added to every operation. */
export interface DiskFaults {
  isFull: boolean;
  failsSync: boolean;
  delayMs: number;
  isStalled: boolean;
}

const joined = (a: Uint8Array, b: Uint8Array): Uint8Array => {
  const whole = new Uint8Array(a.length + b.length);
  whole.set(a);
  whole.set(b, a.length);
  return whole;
};

const fault = (code: string): DiskError => ({ kind: 'disk', code, detail: code });

/** One operation that changes the disk, told right before it takes effect. */
export interface DiskMutation {
  readonly operation: 'open' | 'append' | 'sync' | 'replace' | 'truncate' | 'remove';
  readonly name: string;
}

/** A disk whose bytes are safe once synced, and whose names are safe once the operation that made or removed them is over. */
export class SimDisk {
  /** Called before each operation that changes the disk, so that a test may copy it as a loss of power would leave it, or end the process before the operation. */
  beforeMutation: (step: DiskMutation) => void = () => {};
  /** The bytes of each file by name. */
  readonly files = new Map<string, FileBytes>();
  /** The faults in force. */
  readonly faults: DiskFaults = { isFull: false, failsSync: false, delayMs: 0, isStalled: false };
  /** How many syncs succeeded. */
  syncs = 0;
  private stalled: (() => void)[] = [];

  constructor(private readonly wait: (delayMs: number) => Promise<void> = () => Promise.resolve()) {}

  /** A loss of power: loses what was not synced, but for that share of each file. The end of a process loses nothing. */
  readonly crash = (unsyncedShareKept: number): void => {
    for (const held of this.files.values()) {
      held.synced = joined(
        held.synced,
        held.unsynced.subarray(0, Math.floor(held.unsynced.length * unsyncedShareKept)),
      );
      held.unsynced = new Uint8Array();
    }
  };

  /** This disk as it is now, written and unsynced bytes apart. */
  readonly copy = (): SimDisk => {
    const copy = new SimDisk();
    for (const [name, { synced, unsynced }] of this.files)
      copy.files.set(name, { synced: synced.slice(), unsynced: unsynced.slice() });
    return copy;
  };

  /** Loses all files. */
  readonly wipe = (): void => this.files.clear();

  /** Ends a stall: what waited goes on. */
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

  /** The disk as a process sees it; its operations never end once `isLive` is false. */
  readonly view = (isLive: () => boolean): Disk => {
    const never = new Promise<never>(() => {});
    const step = async <T>(work: () => Result<T, DiskError>): Promise<Result<T, DiskError>> => {
      await this.awaitFaults();
      return isLive() ? work() : never;
    };
    const change = async <T>(
      operation: DiskMutation['operation'],
      name: string,
      work: () => Result<T, DiskError>,
    ): Promise<Result<T, DiskError>> => {
      await this.awaitFaults();
      if (isLive()) this.beforeMutation({ operation, name });
      return isLive() ? work() : never;
    };
    const sync = (name: string): Promise<Result<void, DiskError>> =>
      change('sync', name, () => {
        if (this.faults.failsSync) return err(fault('EIO'));
        const held = this.files.get(name);
        if (held === undefined) return err(fault('ENOENT'));
        held.synced = joined(held.synced, held.unsynced);
        held.unsynced = new Uint8Array();
        this.syncs += 1;
        return ok(undefined);
      });
    const file = (name: string): DiskFile => ({
      append: (bytes) =>
        change('append', name, () => {
          const held = this.files.get(name);
          if (held === undefined) return err(fault('ENOENT'));
          if (this.faults.isFull) {
            held.unsynced = joined(held.unsynced, bytes.slice(0, Math.floor(bytes.length / 2)));
            return err(fault('ENOSPC'));
          }
          held.unsynced = joined(held.unsynced, bytes);
          return ok(undefined);
        }),
      sync: () => sync(name),
      close: async () => {},
    });
    return {
      list: () => step(() => ok([...this.files.keys()])),
      read: (name) =>
        step(() => {
          const held = this.files.get(name);
          return ok(held === undefined ? null : joined(held.synced, held.unsynced));
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
          const held = this.files.get(name);
          if (held === undefined) return ok(undefined);
          const whole = joined(held.synced, held.unsynced);
          this.files.set(name, { synced: whole.slice(0, size), unsynced: new Uint8Array() });
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
