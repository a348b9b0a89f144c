export * from './frames.js';
export * from './coach.js';
