export * from './ledger.js';
