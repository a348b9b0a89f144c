export * from './door.js';
export * from './main.js';
