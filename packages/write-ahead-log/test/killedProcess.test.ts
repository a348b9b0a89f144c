import { expect } from 'chai';
import type { Result } from 'neverthrow';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { OpenedLog, WriteAheadLogError } from '@martenworks/write-ahead-log';
import { SimDisk, SimWorld } from '@martenworks/test-fleet';

const unsyncedShares: readonly number[] = [0, 0.5, 1];
const seedCount = 120;
const stepsOfRun = 60;

interface Process {
  isLive: boolean;
  readonly log: OpenedLog;
}

interface Snapshot {
  readonly count: number;
}

/** A log whose process is killed and started again, on a disk that outlasts both and may lose power. */
class KilledLog {
  readonly disk = new SimDisk();
  process: Process | null = null;
  /** Records written so far; the last one may have been told to nobody. */
  offered = 0;
  /** Records that were acknowledged, or read at a start: others may have been told of them. */
  told = 0;
  readonly open = async (): Promise<Result<OpenedLog, WriteAheadLogError>> => {
    const process = { isLive: true };
    const opened = await writeAheadLogs.open(
      this.disk.view(() => process.isLive),
      'book',
    );
    if (opened.isOk()) {
      this.process = Object.assign(process, { log: opened.value });
      const { snapshot, records } = opened.value;
      this.offered = ((snapshot as Snapshot | null)?.count ?? 0) + records.length;
      this.told = Math.max(this.told, this.offered);
    }
    return opened;
  };

  /** SIGKILL: nothing of what was written is lost. */
  readonly kill = (): void => {
    if (this.process !== null) this.process.isLive = false;
    this.process = null;
  };

  readonly losePower = (shareKept: number): void => {
    this.kill();
    this.disk.crash(shareKept);
  };

  readonly append = async (): Promise<void> => {
    this.offered += 1;
    const written = await this.process?.log.wal.append(this.offered);
    if (written?.isOk() !== true) throw new Error('the disk refused a record');
    this.told = this.offered;
  };

  readonly snapshot = async (): Promise<void> => {
    const count = this.told;
    await this.process?.log.wal.snapshot((): Snapshot => ({ count }));
  };

  /** Writes a record and kills the process between its write and its sync. */
  readonly killBeforeSync = async (): Promise<void> => {
    this.offered += 1;
    const isWritten = new Promise<void>((resolve) => {
      this.disk.beforeStep = ({ operation }) => {
        if (operation !== 'sync') return;
        this.kill();
        resolve();
      };
    });
    void this.process?.log.wal.append(this.offered);
    await isWritten;
    this.disk.beforeStep = () => {};
  };
}

/** What is wrong with the log when it is opened now, or null: damage, or a record that others were told of and that is missing. */
const faultOf = async (log: KilledLog): Promise<string | null> => {
  const { told } = log;
  const opened = await log.open();
  if (opened.isErr()) return JSON.stringify(opened.error);
  const { snapshot, records } = opened.value;
  const held = ((snapshot as Snapshot | null)?.count ?? 0) + records.length;
  return held >= told ? null : `${held} records are left of ${told} that others were told of`;
};

describe('a log whose process is killed and whose machine loses power later', () => {
  it('given a process killed between writing a record and syncing it, when the next one writes on and power is lost then, then the log opens with all that was acknowledged', async () => {
    for (const share of unsyncedShares) {
      const log = new KilledLog();
      await log.open();
      await log.append();
      await log.killBeforeSync();
      await log.open();
      await log.append();
      log.losePower(share);
      expect(await faultOf(log), `share kept: ${share}`).to.equal(null);
    }
  });

  it('given a process killed between writing a record and syncing it, when the next one reads the record and power is lost then, then the record is not taken back', async () => {
    for (const share of unsyncedShares) {
      const log = new KilledLog();
      await log.open();
      await log.append();
      await log.killBeforeSync();
      const held = (await log.open())._unsafeUnwrap().records.length;
      log.losePower(share);
      expect((await log.open())._unsafeUnwrap().records.length, `share kept: ${share}`).to.equal(held);
    }
  });

  it('given any order of records, snapshots, kills, kills before a sync, starts and losses of power, when the log is opened after each, then it is whole and holds all that was acknowledged', async () => {
    for (let seed = 1; seed <= seedCount; seed += 1) {
      const { random } = new SimWorld(seed);
      const log = new KilledLog();
      await log.open();
      const done: string[] = [];
      for (let step = 0; step < stepsOfRun; step += 1) {
        const dice = random();
        if (dice < 0.6) await log.append();
        else if (dice < 0.7) await log.snapshot();
        else {
          const end = dice < 0.8 ? 'kill' : dice < 0.9 ? 'kill before sync' : 'power';
          done.push(`${step} ${end}`);
          if (end === 'kill') log.kill();
          else if (end === 'kill before sync') await log.killBeforeSync();
          else log.losePower(random());
          expect(await faultOf(log), `seed ${seed}: ${done.join(', ')}`).to.equal(null);
        }
      }
    }
  });
});
