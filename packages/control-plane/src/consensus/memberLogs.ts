/** The logs of a control node as a set: they are checked together, and all removed if one is damaged. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Disk, Log } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { LogOptions, WriteAheadLogError } from '@martenworks/write-ahead-log';

/** File name prefixes of the logs of a control node. */
export const logPrefixes = { acceptor: 'decrees', leases: 'leases', replicas: 'replicas', claims: 'claims' } as const;

/** Claims are dropped by age, one segment at a time, without a snapshot. */
export const claimLogOptions: LogOptions = { isTrimmed: true };

/**
 * The acceptor's log must be first, since logs are removed in this order: once a part of it is removed, the node cannot
 * return under its old identity. A power failure in between then leaves no voter that has forgotten a lease or a claim.
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

/** Checks every log of a control node without changing any, and returns the first fault. */
export const checkMemberLogs = async (disk: Disk): Promise<Result<void, WriteAheadLogError>> => {
  for (const [prefix, options] of memberLogs) {
    const checked = await writeAheadLogs.check(disk, prefix, options);
    if (checked.isErr()) return checked;
  }
  return ok(undefined);
};

/**
 * Removes all logs of a control node if one of them is damaged or lacks a file, so that the node starts empty: it must
 * not vote under an identity whose promises, leases or claims it may have forgotten. Returns whether the logs were
 * removed; fails if the disk fails.
 */
export const removeDamagedLogs = async (disk: Disk, log: Log): Promise<Result<boolean, WriteAheadLogError>> => {
  const checked = await checkMemberLogs(disk);
  if (checked.isOk()) return ok(false);
  if (checked.error.kind !== 'corrupt') return err(checked.error);
  const { file, offset, detail } = checked.error;
  log.error('log is corrupt: rejoining as an empty node', { file, offset, detail });
  return (await removeAll(disk, log)).map(() => true);
};
