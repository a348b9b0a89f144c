/** The logs of a control node as a set: they are checked together, and removed together where one is damaged. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Disk, Log } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { LogOptions, WriteAheadLogError } from '@martenworks/write-ahead-log';

/** The logs of a control node by their file prefixes. */
export const logPrefixes = { acceptor: 'decrees', leases: 'leases', replicas: 'replicas', claims: 'claims' } as const;

/** Claims are dropped by age, segment by segment, without a snapshot. */
export const claimLogOptions: LogOptions = { isTrimmed: true };

/**
 * The acceptor's log stands first and is removed first: once any of it is gone, the old identity never comes back, so
 * that a loss of power in between leaves no voter that has forgotten a lease or a claim.
 */
const memberLogs: readonly (readonly [prefix: string, options: LogOptions])[] = [
  [logPrefixes.acceptor, {}],
  [logPrefixes.leases, {}],
  [logPrefixes.replicas, {}],
  [logPrefixes.claims, claimLogOptions],
];

const removeAll = async (disk: Disk, log: Log): Promise<Result<void, WriteAheadLogError>> => {
  for (const [prefix] of memberLogs) {
    const removed = await writeAheadLogs.discard(disk, prefix);
    if (removed.isErr()) return err(removed.error);
    log.warn('log files removed', { wal: prefix, files: removed.value });
  }
  return ok(undefined);
};

/** Reads every log of this control node and changes nothing; the first fault, if any. */
export const checkMemberLogs = async (disk: Disk): Promise<Result<void, WriteAheadLogError>> => {
  for (const [prefix, options] of memberLogs) {
    const checked = await writeAheadLogs.check(disk, prefix, options);
    if (checked.isErr()) return checked;
  }
  return ok(undefined);
};

/**
 * Where a log of this control node is damaged, or lacks a file, all are removed and the node counts as empty: it must
 * not vote under an identity whose promises, leases or claims it may have forgotten. True where that was so; an error
 * where the disk itself failed.
 */
export const removeDamagedLogs = async (disk: Disk, log: Log): Promise<Result<boolean, WriteAheadLogError>> => {
  const checked = await checkMemberLogs(disk);
  if (checked.isOk()) return ok(false);
  if (checked.error.kind !== 'corrupt') return err(checked.error);
  const { file, offset, detail } = checked.error;
  log.error('log is corrupt: rejoining as an empty node', { file, offset, detail });
  return (await removeAll(disk, log)).map(() => true);
};
