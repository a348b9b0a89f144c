import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Disk, DiskFault, DiskFile } from '@martenworks/core-types';

interface Held {
  safe: Uint8Array;
  loose: Uint8Array;
}

export interface DiskMood {
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

const fault = (code: string): DiskFault => ({ kind: 'disk', code, detail: code });

/** One operation that changes the disk, told right before it takes effect. */
export interface DiskStep {
  readonly operation: 'open' | 'append' | 'sync' | 'replace' | 'truncate' | 'remove';
  readonly name: string;
}

/** A disk whose bytes are safe once synced, and whose names are safe once the operation that made or removed them is over. */
export class SimDisk {
  /** Called before each operation that changes the disk, so that a test may copy it as a loss of power would leave it. */
  beforeStep: (step: DiskStep) => void = () => {};
  readonly files = new Map<string, Held>();
  readonly mood: DiskMood = { isFull: false, failsSync: false, delayMs: 0, isStalled: false };
  syncs = 0;
  private stalled: (() => void)[] = [];

  constructor(private readonly wait: (delayMs: number) => Promise<void> = () => Promise.resolve()) {}

  readonly crash = (keptShareOfLoose: number): void => {
    for (const held of this.files.values()) {
      held.safe = joined(held.safe, held.loose.subarray(0, Math.floor(held.loose.length * keptShareOfLoose)));
      held.loose = new Uint8Array();
    }
  };

  /** This disk as it is now, written and unsynced bytes apart. */
  readonly copy = (): SimDisk => {
    const copy = new SimDisk();
    for (const [name, { safe, loose }] of this.files)
      copy.files.set(name, { safe: safe.slice(), loose: loose.slice() });
    return copy;
  };

  readonly lose = (): void => this.files.clear();

  readonly unstall = (): void => {
    this.mood.isStalled = false;
    const waiting = this.stalled;
    this.stalled = [];
    for (const wake of waiting) wake();
  };

  private readonly hold = async (): Promise<void> => {
    if (this.mood.isStalled) await new Promise<void>((wake) => this.stalled.push(wake));
    if (this.mood.delayMs > 0) await this.wait(this.mood.delayMs);
  };

  readonly view = (isLive: () => boolean): Disk => {
    const never = new Promise<never>(() => {});
    const step = async <T>(work: () => Result<T, DiskFault>): Promise<Result<T, DiskFault>> => {
      await this.hold();
      return isLive() ? work() : never;
    };
    const change = <T>(operation: DiskStep['operation'], name: string, work: () => Result<T, DiskFault>) =>
      step(() => {
        this.beforeStep({ operation, name });
        return work();
      });
    const file = (name: string): DiskFile => ({
      append: (bytes) =>
        change('append', name, () => {
          const held = this.files.get(name);
          if (held === undefined) return err(fault('ENOENT'));
          if (this.mood.isFull) {
            held.loose = joined(held.loose, bytes.slice(0, Math.floor(bytes.length / 2)));
            return err(fault('ENOSPC'));
          }
          held.loose = joined(held.loose, bytes);
          return ok(undefined);
        }),
      sync: () =>
        change('sync', name, () => {
          if (this.mood.failsSync) return err(fault('EIO'));
          const held = this.files.get(name);
          if (held === undefined) return err(fault('ENOENT'));
          held.safe = joined(held.safe, held.loose);
          held.loose = new Uint8Array();
          this.syncs += 1;
          return ok(undefined);
        }),
      close: async () => {},
    });
    return {
      list: () => step(() => ok([...this.files.keys()])),
      read: (name) =>
        step(() => {
          const held = this.files.get(name);
          return ok(held === undefined ? null : joined(held.safe, held.loose));
        }),
      open: (name) =>
        change('open', name, () => {
          if (this.mood.isFull && !this.files.has(name)) return err(fault('ENOSPC'));
          if (!this.files.has(name)) this.files.set(name, { safe: new Uint8Array(), loose: new Uint8Array() });
          return ok(file(name));
        }),
      replace: (name, bytes) =>
        change('replace', name, () => {
          if (this.mood.isFull) return err(fault('ENOSPC'));
          this.files.set(name, { safe: bytes.slice(), loose: new Uint8Array() });
          return ok(undefined);
        }),
      truncate: (name, size) =>
        change('truncate', name, () => {
          const held = this.files.get(name);
          if (held === undefined) return ok(undefined);
          const whole = joined(held.safe, held.loose);
          this.files.set(name, { safe: whole.slice(0, size), loose: new Uint8Array() });
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
