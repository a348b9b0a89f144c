/** An in-memory disk with scheduled syncs, crashes and losses. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Disk, DiskError, DiskFile } from '@martenworks/core-types';

interface StoredFile {
  readonly durable: Uint8Array;
  readonly unsynced: Uint8Array;
}

interface PendingSync {
  readonly file: string;
  readonly finish: (outcome: Result<void, DiskError>) => void;
}

const empty = new Uint8Array();

const concatenate = (first: Uint8Array, second: Uint8Array): Uint8Array => {
  const bytes = new Uint8Array(first.length + second.length);
  bytes.set(first);
  bytes.set(second, first.length);
  return bytes;
};

const diskError = (code: string): DiskError => ({ kind: 'disk', code, detail: code });

/** A disk whose syncs wait for the scheduler, so that a crash can happen before or after each sync. */
export class ModelDisk {
  private files = new Map<string, StoredFile>();
  private pending: PendingSync[] = [];
  /** Whether syncs wait for the scheduler. While false they complete at once: bootstrap and restart are each a single step. */
  defersSyncs = false;
  /** Injected fault: syncs are acknowledged, but nothing becomes durable. */
  acknowledgesWithoutSync = false;
  /** Injected fault: a restarted process does not sync the bytes that the previous process wrote but did not sync. */
  skipsRecoverySync = false;

  /** Number of syncs that wait for the scheduler. */
  readonly pendingCount = (): number => this.pending.length;

  /** Completes the oldest pending sync; returns false if there is none. */
  readonly completeSync = (): boolean => {
    const sync = this.pending.shift();
    if (sync === undefined) return false;
    this.makeDurable(sync.file);
    sync.finish(ok(undefined));
    return true;
  };

  /** Fails the oldest pending sync; returns false if there is none. Its bytes may or may not survive a crash. */
  readonly failSync = (): boolean => {
    const sync = this.pending.shift();
    sync?.finish(err(diskError('EIO')));
    return sync !== undefined;
  };

  private readonly makeDurable = (name: string): void => {
    const file = this.files.get(name);
    if (file === undefined || this.acknowledgesWithoutSync) return;
    this.files.set(name, { durable: concatenate(file.durable, file.unsynced), unsynced: empty });
  };

  /**
   * Ends the process. With `keptShare` 1 only the process ends: unsynced bytes stay readable, and a later power loss may
   * still take them. With less it is a power loss: of the unsynced bytes of each file, this share has reached the disk.
   */
  readonly crash = (keptShare: number): void => {
    this.pending = [];
    if (keptShare === 1) return;
    for (const [name, file] of this.files) {
      const kept = file.unsynced.subarray(0, Math.floor(file.unsynced.length * keptShare));
      this.files.set(name, { durable: concatenate(file.durable, kept), unsynced: empty });
    }
  };

  /** Loses all files, as when the disk is replaced. */
  readonly lose = (): void => {
    this.pending = [];
    this.files = new Map();
  };

  /** A separate disk with the content that a restart would find now. */
  readonly copy = (): ModelDisk => {
    const copy = new ModelDisk();
    for (const [name, file] of this.files) copy.files.set(name, file);
    copy.crash(1);
    return copy;
  };

  private readonly sync = (name: string): Promise<Result<void, DiskError>> => {
    if (this.defersSyncs) return new Promise((finish) => this.pending.push({ file: name, finish }));
    this.makeDurable(name);
    return Promise.resolve(ok(undefined));
  };

  private readonly recoverySync = (name: string): Promise<Result<void, DiskError>> =>
    this.skipsRecoverySync ? Promise.resolve(ok(undefined)) : this.sync(name);

  /** The disk as seen by one run of a process. Once `isLive` returns false, calls have no effect and never resolve. */
  readonly view = (isLive: () => boolean): Disk => {
    const never = new Promise<never>(() => {});
    const step = async <T>(work: () => Result<T, DiskError>): Promise<Result<T, DiskError>> =>
      isLive() ? work() : never;
    const fileOf = (name: string): DiskFile => ({
      append: (bytes) =>
        step(() => {
          const file = this.files.get(name);
          if (file === undefined) return err(diskError('ENOENT'));
          this.files.set(name, { durable: file.durable, unsynced: concatenate(file.unsynced, bytes) });
          return ok(undefined);
        }),
      sync: () => (isLive() ? this.sync(name) : never),
      close: async () => {},
    });
    return {
      list: () => step(() => ok([...this.files.keys()])),
      read: (name) =>
        step(() => {
          const file = this.files.get(name);
          return ok(file === undefined ? null : concatenate(file.durable, file.unsynced));
        }),
      open: (name) =>
        step(() => {
          if (!this.files.has(name)) this.files.set(name, { durable: empty, unsynced: empty });
          return ok(fileOf(name));
        }),
      replace: (name, bytes) =>
        step(() => {
          this.files.set(name, { durable: bytes.slice(), unsynced: empty });
          return ok(undefined);
        }),
      sync: (name) => (isLive() ? this.recoverySync(name) : never),
      truncate: (name, size) =>
        step(() => {
          const file = this.files.get(name);
          if (file === undefined) return ok(undefined);
          const content = concatenate(file.durable, file.unsynced);
          this.files.set(name, { durable: content.slice(0, size), unsynced: empty });
          return ok(undefined);
        }),
      remove: (name) =>
        step(() => {
          this.files.delete(name);
          return ok(undefined);
        }),
    };
  };
}
