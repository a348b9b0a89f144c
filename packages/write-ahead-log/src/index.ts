/**
 * A write-ahead log of CBOR records in segments, with snapshots; torn tails are cut, lost and damaged files are found.
 */
export { writeAheadLogs } from './openLog.js';
export type { OpenedLog } from './openLog.js';
export { WriteAheadLog } from './writeAheadLog.js';
export type { LogOptions } from './logReader.js';
export type { WriteAheadLogError } from './errors.js';
