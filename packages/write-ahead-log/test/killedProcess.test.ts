import { expect } from 'chai';
import type { Result } from 'neverthrow';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { OpenedLog, WriteAheadLogError } from '@martenworks/write-ahead-log';
import { SimDisk, SimWorld } from '@martenworks/test-fleet';

const survivingShares: readonly number[] = [0, 0.5, 1];
const seedCount = 120;
const stepsPerRun = 60;

interface Process {
  isLive: boolean;
  readonly log: OpenedLog;
}

interface Snapshot {
  readonly count: number;
}

/** A log whose process is killed and restarted, on a disk that survives the process and may lose power. */
class LogUnderTest {
  readonly disk = new SimDisk();
  process: Process | null = null;
  /** The number of records written so far; the last one may not have been acknowledged. */
  written = 0;
  /** The number of records acknowledged or read after a start, which others may know of and which must not be lost. */
  acknowledged = 0;
  readonly open = async (): Promise<Result<OpenedLog, WriteAheadLogError>> => {
    const process = { isLive: true };
    const opened = await writeAheadLogs.open(
      this.disk.view(() => process.isLive),
      'book',
    );
    if (opened.isOk()) {
      this.process = Object.assign(process, { log: opened.value });
      const { snapshot, records } = opened.value;
      this.written = ((snapshot as Snapshot | null)?.count ?? 0) + records.length;
      this.acknowledged = Math.max(this.acknowledged, this.written);
    }
    return opened;
  };

  /** Kills the process as SIGKILL does: no written bytes are lost. */
  readonly kill = (): void => {
    if (this.process !== null) this.process.isLive = false;
    this.process = null;
  };

  readonly losePower = (survivingShare: number): void => {
    this.kill();
    this.disk.crash(survivingShare);
  };

  readonly append = async (): Promise<void> => {
    this.written += 1;
    const result = await this.process?.log.wal.append(this.written);
    if (result?.isOk() !== true) throw new Error('the disk failed to append a record');
    this.acknowledged = this.written;
  };

  readonly snapshot = async (): Promise<void> => {
    const count = this.acknowledged;
    await this.process?.log.wal.snapshot((): Snapshot => ({ count }));
  };

  /** Appends a record and kills the process between the write and the sync. */
  readonly killBeforeSync = async (): Promise<void> => {
    this.written += 1;
    const killed = new Promise<void>((resolve) => {
      this.disk.beforeMutation = ({ operation }) => {
        if (operation !== 'sync') return;
        this.kill();
        resolve();
      };
    });
    void this.process?.log.wal.append(this.written);
    await killed;
    this.disk.beforeMutation = () => {};
  };
}

/** Reopens the log. Returns what is wrong with it, corruption or the loss of an acknowledged record, or null. */
const reopenFault = async (log: LogUnderTest): Promise<string | null> => {
  const { acknowledged } = log;
  const opened = await log.open();
  if (opened.isErr()) return JSON.stringify(opened.error);
  const { snapshot, records } = opened.value;
  const recordCount = ((snapshot as Snapshot | null)?.count ?? 0) + records.length;
  return recordCount >= acknowledged ? null : `${recordCount} of ${acknowledged} acknowledged records are left`;
};

describe('a log whose process is killed and whose machine loses power later', () => {
  it('given a process killed between writing a record and syncing it, when the next process appends to the log and power is lost, then the log opens with all acknowledged records', async () => {
    for (const share of survivingShares) {
      const log = new LogUnderTest();
      await log.open();
      await log.append();
      await log.killBeforeSync();
      await log.open();
      await log.append();
      log.losePower(share);
      expect(await reopenFault(log), `surviving share of unsynced bytes: ${share}`).to.equal(null);
    }
  });

  it('given a process killed between writing a record and syncing it, when the next process reads the record and power is lost, then the record is not lost', async () => {
    for (const share of survivingShares) {
      const log = new LogUnderTest();
      await log.open();
      await log.append();
      await log.killBeforeSync();
      const recordCount = (await log.open())._unsafeUnwrap().records.length;
      log.losePower(share);
      expect((await log.open())._unsafeUnwrap().records.length, `surviving share of unsynced bytes: ${share}`).to.equal(
        recordCount,
      );
    }
  });

  it('given random sequences of appends, snapshots, kills, kills before a sync, restarts and power failures, when the log is opened after each, then it is not corrupt and has all acknowledged records', async () => {
    for (let seed = 1; seed <= seedCount; seed += 1) {
      const { random } = new SimWorld(seed);
      const log = new LogUnderTest();
      await log.open();
      const events: string[] = [];
      for (let step = 0; step < stepsPerRun; step += 1) {
        const choice = random();
        if (choice < 0.6) await log.append();
        else if (choice < 0.7) await log.snapshot();
        else {
          const event = choice < 0.8 ? 'kill' : choice < 0.9 ? 'kill before sync' : 'power';
          events.push(`${step} ${event}`);
          if (event === 'kill') log.kill();
          else if (event === 'kill before sync') await log.killBeforeSync();
          else log.losePower(random());
          expect(await reopenFault(log), `seed ${seed}: ${events.join(', ')}`).to.equal(null);
        }
      }
    }
  });
});
