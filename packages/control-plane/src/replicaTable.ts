import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Owner, replicas } from '@martenworks/core-types';
import type { Disk, Log, ReplicaRecord } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { WriteAheadLog, WriteAheadLogFault } from '@martenworks/write-ahead-log';
import { logPrefixes } from './memberLogs.js';

const segmentsBeforeCheckpoint = 4;

export class ReplicaTable {
  private readonly owner = new Owner();
  private readonly held = new Map<string, ReplicaRecord>();
  private readonly watchers: ((records: readonly ReplicaRecord[]) => void)[] = [];

  constructor(
    private readonly wal: WriteAheadLog,
    private readonly log: Log,
  ) {}

  readonly replay = (records: readonly ReplicaRecord[]): void => {
    for (const record of records)
      this.held.set(record.name, replicas.merge(this.held.get(record.name), replicas.filled(record)));
  };

  readonly watch = (verb: (records: readonly ReplicaRecord[]) => void): void => void this.watchers.push(verb);

  readonly take = (told: readonly ReplicaRecord[]): Promise<Result<readonly ReplicaRecord[], WriteAheadLogFault>> =>
    this.owner.run(async () => {
      const news = told
        .filter((record) => replicas.isNews(this.held.get(record.name), record))
        .map((record) => replicas.merge(this.held.get(record.name), record));
      if (news.length === 0) return ok(news);
      const kept: ReplicaRecord[] = [];
      for (const record of news) {
        const written = await this.wal.append(record);
        if (written.isErr()) {
          this.log.error('the log did not take a replica record', { fault: written.error });
          this.tellWatchers(kept);
          return err(written.error);
        }
        this.held.set(record.name, record);
        kept.push(record);
      }
      this.tellWatchers(kept);
      if (this.wal.segmentCount() > segmentsBeforeCheckpoint) await this.wal.checkpoint(this.records);
      return ok(news);
    });

  private readonly tellWatchers = (kept: readonly ReplicaRecord[]): void => {
    if (kept.length > 0) for (const watcher of this.watchers) watcher(kept);
  };

  readonly records = (): ReplicaRecord[] => [...this.held.values()];

  readonly find = (name: string): ReplicaRecord | undefined => this.held.get(name);

  readonly close = (): Promise<void> => this.wal.close();
}

export const replicaTables = {
  open: async (disk: Disk, log: Log): Promise<Result<ReplicaTable, WriteAheadLogFault>> => {
    const opened = await writeAheadLogs.open(disk, logPrefixes.replicas);
    if (opened.isErr()) return err(opened.error);
    const { wal, checkpoint, records, cutBytes } = opened.value;
    if (cutBytes > 0) log.warn('a torn tail was cut from the ledger', { wal: 'replicas', cutBytes });
    const table = new ReplicaTable(wal, log);
    table.replay([...((checkpoint as ReplicaRecord[] | null) ?? []), ...(records as ReplicaRecord[])]);
    return ok(table);
  },
};
