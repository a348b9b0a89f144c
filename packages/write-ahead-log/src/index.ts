export * from './writeAheadLog.js';
