/** Stores the replica records of a gateway control node in a separate log. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { CommandQueue, replicaRecords } from '@martenworks/core-types';
import type { Disk, Log, ReplicaRecord } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { WriteAheadLog, WriteAheadLogError } from '@martenworks/write-ahead-log';
import { logPrefixes } from '../consensus/memberLogs.js';

const segmentsBeforeSnapshot = 4;

/** One record for each replica, by name. A record is on disk before watchers see it. */
export class ReplicaTable {
  private readonly queue = new CommandQueue();
  private readonly byName = new Map<string, ReplicaRecord>();
  private readonly watchers: ((records: readonly ReplicaRecord[]) => void)[] = [];

  constructor(
    private readonly wal: WriteAheadLog,
    private readonly log: Log,
  ) {}

  /** Restores the records from disk. Must be called once, before any other method. */
  readonly replay = (records: readonly ReplicaRecord[]): void => {
    for (const record of records)
      this.byName.set(
        record.name,
        replicaRecords.merge(this.byName.get(record.name), replicaRecords.withDefaults(record)),
      );
  };

  /** Calls the listener with the changed records after each merge. */
  readonly watch = (listener: (records: readonly ReplicaRecord[]) => void): void => void this.watchers.push(listener);

  /** Merges records and returns those that changed. After a failed write, the records before it stay merged. */
  readonly merge = (records: readonly ReplicaRecord[]): Promise<Result<readonly ReplicaRecord[], WriteAheadLogError>> =>
    this.queue.run(async () => {
      const changed = records
        .filter((record) => replicaRecords.isUpdate(this.byName.get(record.name), record))
        .map((record) => replicaRecords.merge(this.byName.get(record.name), record));
      if (changed.length === 0) return ok(changed);
      const written: ReplicaRecord[] = [];
      for (const record of changed) {
        const appended = await this.wal.append(record);
        if (appended.isErr()) {
          this.log.error('log append failed for a replica record', { fault: appended.error });
          this.notifyWatchers(written);
          return err(appended.error);
        }
        this.byName.set(record.name, record);
        written.push(record);
      }
      this.notifyWatchers(written);
      if (this.wal.segmentCount() > segmentsBeforeSnapshot) await this.wal.snapshot(this.records);
      return ok(changed);
    });

  private readonly notifyWatchers = (records: readonly ReplicaRecord[]): void => {
    if (records.length > 0) for (const watcher of this.watchers) watcher(records);
  };

  /** Returns all records. */
  readonly records = (): ReplicaRecord[] => [...this.byName.values()];

  /** Returns the record with this name, if there is one. */
  readonly find = (name: string): ReplicaRecord | undefined => this.byName.get(name);

  /** Closes the log. */
  readonly close = (): Promise<void> => this.wal.close();
}

/** Opens the replica table of a node. The error is a disk error or a damaged log. */
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
