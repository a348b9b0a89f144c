/** A disk in memory with scheduled syncs, crashes and losses. */
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

/** A disk whose syncs wait for the scheduler, so that a crash can fall before or after each write. */
export class ModelDisk {
  private files = new Map<string, StoredFile>();
  private pending: PendingSync[] = [];
  /** While false, syncs complete at once: for founding and restarts, which are one step of a schedule. */
  defersSyncs = false;
  /** A deliberate fault: syncs are acknowledged and nothing becomes durable. */
  acknowledgesWithoutSync = false;
  /** A deliberate fault: what a process that ended had not synced is not made durable when its file is read again. */
  skipsRecoverySync = false;

  /** Syncs that wait for the scheduler. */
  readonly pendingCount = (): number => this.pending.length;

  /** Completes the oldest waiting sync. */
  readonly completeSync = (): boolean => {
    const sync = this.pending.shift();
    if (sync === undefined) return false;
    this.makeDurable(sync.file);
    sync.finish(ok(undefined));
    return true;
  };

  /** Fails the oldest waiting sync; what it was to make durable may or may not survive a crash. */
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
   * The end of the process, where all of what was not synced is kept: it can be read, and a later loss of power may still
   * take it. Else a loss of power: of what was not synced, the given share (0 to 1) has reached the disk.
   */
  readonly crash = (keptShare: number): void => {
    this.pending = [];
    if (keptShare === 1) return;
    for (const [name, file] of this.files) {
      const kept = file.unsynced.subarray(0, Math.floor(file.unsynced.length * keptShare));
      this.files.set(name, { durable: concatenate(file.durable, kept), unsynced: empty });
    }
  };

  /** Loses all files, as with a replaced disk. */
  readonly lose = (): void => {
    this.pending = [];
    this.files = new Map();
  };

  /** What a restart would find now, on a disk of its own. */
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

  /** The disk as one run of a process sees it; once `isLive` is false no call of it has an effect or an answer. */
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
