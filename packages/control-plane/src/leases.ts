import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, Disk, Log } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { WriteAheadLog, WriteAheadLogFault } from '@martenworks/write-ahead-log';
import { LeaseBook } from '@martenworks/cluster-membership';
import type { LeaseTerms } from '@martenworks/cluster-membership';
import { logPrefixes } from './memberLogs.js';

const segmentsBeforeCheckpoint = 4;

type FenceRecord = readonly [duty: string, fence: number];

export interface KeptLeases {
  readonly book: LeaseBook;
  readonly close: () => Promise<void>;
}

export const leaseBooks = {
  open: async (
    disk: Disk,
    clock: Clock,
    log: Log,
    terms?: LeaseTerms,
  ): Promise<Result<KeptLeases, WriteAheadLogFault>> => {
    const opened = await writeAheadLogs.open(disk, logPrefixes.leases);
    if (opened.isErr()) return err(opened.error);
    const { checkpoint, records } = opened.value;
    const wal: WriteAheadLog = opened.value.wal;
    const kept = [...((checkpoint as FenceRecord[] | null) ?? []), ...(records as FenceRecord[])];
    const keep = async (duty: string, fence: number): Promise<boolean> => {
      const written = await wal.append([duty, fence] satisfies FenceRecord);
      if (written.isErr()) log.error('ledger did not take a lease', { fault: written.error });
      if (wal.segmentCount() > segmentsBeforeCheckpoint) await wal.checkpoint(book.fences);
      return written.isOk();
    };
    const book = new LeaseBook(
      clock,
      keep,
      kept,
      terms === undefined && checkpoint === null && records.length === 0,
      terms,
    );
    return ok({ book, close: wal.close });
  },
};
