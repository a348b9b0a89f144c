export * from './decrees.js';
export * from './proposer.js';
export * from './pushDesk.js';
export * from './postmaster.js';
export * from './operatorWire.js';
export * from './platformWire.js';
export * from './recovery.js';
