export * from './roster.js';
export * from './lines.js';
