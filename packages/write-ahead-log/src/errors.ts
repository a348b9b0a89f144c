/** The errors of the write-ahead log. */
import type { DiskError } from '@martenworks/core-types';

/**
 * A file of the log that is damaged before its tail, or that follows a file that is missing. The log must not be
 * opened: it has lost records that were acknowledged.
 */
export interface CorruptionError {
  readonly kind: 'corrupt';
  readonly file: string;
  /** Byte of the file from which it can't be read. */
  readonly offset: number;
  readonly detail: string;
}

/** A disk call that failed, or a damaged log. */
export type WriteAheadLogError = DiskError | CorruptionError;

/** A corruption error of this file. */
export const corruption = (file: string, offset: number, detail: string): CorruptionError => ({
  kind: 'corrupt',
  file,
  offset,
  detail,
});
