export * from './layoutCheck.js';
export * from './env.js';
