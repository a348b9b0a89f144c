export * from './breaks.js';
export * from './checker.js';
export * from './choices.js';
export * from './explorer.js';
export * from './profiles.js';
