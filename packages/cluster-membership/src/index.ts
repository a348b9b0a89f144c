export * from './roster.js';
export * from './lines.js';
export * from './lease.js';
export * from './ring.js';
export * from './watch.js';
export * from './rounds.js';
