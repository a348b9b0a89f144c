/** The errors of the write-ahead log. */
import type { DiskError } from '@martenworks/core-types';

/**
 * A log file that is damaged before its tail, or whose predecessor is missing. The log must not be opened, since it may
 * have lost acknowledged records.
 */
export interface CorruptionError {
  readonly kind: 'corrupt';
  readonly file: string;
  /** The byte offset in the file from which on it cannot be read. */
  readonly offset: number;
  readonly detail: string;
}

/** A failed disk operation, or a corrupt log. */
export type WriteAheadLogError = DiskError | CorruptionError;

/** Creates the corruption error of a file. */
export const corruption = (file: string, offset: number, detail: string): CorruptionError => ({
  kind: 'corrupt',
  file,
  offset,
  detail,
});
