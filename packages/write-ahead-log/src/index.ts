/**
 * A write-ahead log of CBOR records in segments, with snapshots. Torn tails are truncated; missing and damaged files
 * are detected.
 */
export { writeAheadLogs } from './openLog.js';
export type { OpenedLog } from './openLog.js';
export { WriteAheadLog } from './writeAheadLog.js';
export type { LogOptions } from './logReader.js';
export type { WriteAheadLogError } from './errors.js';
