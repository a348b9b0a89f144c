export * from './layoutCheck.js';
export * from './env.js';
export * from './wayEnv.js';
