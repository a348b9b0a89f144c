/** The log of granted fencing tokens: a voter that restarts never grants the same token again. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, Disk, Log } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { WriteAheadLog, WriteAheadLogError } from '@martenworks/write-ahead-log';
import { LeaseTable } from '@martenworks/cluster-membership';
import type { LeaseTerms } from '@martenworks/cluster-membership';
import { logPrefixes } from './memberLogs.js';

const segmentsBeforeSnapshot = 4;

type FenceRecord = readonly [duty: string, fence: number];

/** A lease table whose grants are on disk before they are sent; `close` closes its log. */
export interface PersistedLeases {
  readonly table: LeaseTable;
  readonly close: () => Promise<void>;
}

/** Opens the lease table of a node. Fails if the disk fails or the log is corrupt. */
export const leaseTables = {
  open: async (
    disk: Disk,
    clock: Clock,
    log: Log,
    terms?: LeaseTerms,
  ): Promise<Result<PersistedLeases, WriteAheadLogError>> => {
    const opened = await writeAheadLogs.open(disk, logPrefixes.leases);
    if (opened.isErr()) return err(opened.error);
    const { snapshot, records } = opened.value;
    const wal: WriteAheadLog = opened.value.wal;
    const storedFences = [...((snapshot as FenceRecord[] | null) ?? []), ...(records as FenceRecord[])];
    const persist = async (duty: string, fence: number): Promise<boolean> => {
      const written = await wal.append([duty, fence] satisfies FenceRecord);
      if (written.isErr()) log.error('log append failed for a lease', { fault: written.error });
      if (wal.segmentCount() > segmentsBeforeSnapshot) await wal.snapshot(leaseTable.fences);
      return written.isOk();
    };
    const leaseTable = new LeaseTable(
      clock,
      persist,
      storedFences,
      terms === undefined && snapshot === null && records.length === 0,
      terms,
    );
    return ok({ table: leaseTable, close: wal.close });
  },
};
