/** The replica records of a gateway control node, in a log of their own. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { CommandQueue, replicaRecords } from '@martenworks/core-types';
import type { Disk, Log, ReplicaRecord } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { WriteAheadLog, WriteAheadLogError } from '@martenworks/write-ahead-log';
import { logPrefixes } from '../consensus/memberLogs.js';

const segmentsBeforeSnapshot = 4;

/** One record for each replica, by name; a record is on disk before its watchers see it. */
export class ReplicaTable {
  private readonly queue = new CommandQueue();
  private readonly byName = new Map<string, ReplicaRecord>();
  private readonly watchers: ((records: readonly ReplicaRecord[]) => void)[] = [];

  constructor(
    private readonly wal: WriteAheadLog,
    private readonly log: Log,
  ) {}

  /** Restores the records from disk; called once, before any other method. */
  readonly replay = (records: readonly ReplicaRecord[]): void => {
    for (const record of records)
      this.byName.set(
        record.name,
        replicaRecords.merge(this.byName.get(record.name), replicaRecords.withDefaults(record)),
      );
  };

  /** Calls the listener with each set of records that changed. */
  readonly watch = (listener: (records: readonly ReplicaRecord[]) => void): void => void this.watchers.push(listener);

  /** Merges records and gives those that were new. On a failed write the records before it stay merged. */
  readonly take = (records: readonly ReplicaRecord[]): Promise<Result<readonly ReplicaRecord[], WriteAheadLogError>> =>
    this.queue.run(async () => {
      const update = records
        .filter((record) => replicaRecords.isUpdate(this.byName.get(record.name), record))
        .map((record) => replicaRecords.merge(this.byName.get(record.name), record));
      if (update.length === 0) return ok(update);
      const kept: ReplicaRecord[] = [];
      for (const record of update) {
        const written = await this.wal.append(record);
        if (written.isErr()) {
          this.log.error('log append failed for a replica record', { fault: written.error });
          this.tellWatchers(kept);
          return err(written.error);
        }
        this.byName.set(record.name, record);
        kept.push(record);
      }
      this.tellWatchers(kept);
      if (this.wal.segmentCount() > segmentsBeforeSnapshot) await this.wal.snapshot(this.records);
      return ok(update);
    });

  private readonly tellWatchers = (kept: readonly ReplicaRecord[]): void => {
    if (kept.length > 0) for (const watcher of this.watchers) watcher(kept);
  };

  /** All records. */
  readonly records = (): ReplicaRecord[] => [...this.byName.values()];

  /** The record of this name, if there is one. */
  readonly find = (name: string): ReplicaRecord | undefined => this.byName.get(name);

  /** Closes the log. */
  readonly close = (): Promise<void> => this.wal.close();
}

/** Opens the replica table of a node. The error is that of the disk, or a damaged log. */
export const replicaTables = {
  open: async (disk: Disk, log: Log): Promise<Result<ReplicaTable, WriteAheadLogError>> => {
    const opened = await writeAheadLogs.open(disk, logPrefixes.replicas);
    if (opened.isErr()) return err(opened.error);
    const { wal, snapshot, records, cutBytes } = opened.value;
    if (cutBytes > 0) log.warn('truncated a torn log tail', { wal: 'replicas', cutBytes });
    const table = new ReplicaTable(wal, log);
    table.replay([...((snapshot as ReplicaRecord[] | null) ?? []), ...(records as ReplicaRecord[])]);
    return ok(table);
  },
};
