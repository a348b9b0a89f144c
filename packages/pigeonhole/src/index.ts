export * from './pigeonhole.js';
export * from './place.js';
