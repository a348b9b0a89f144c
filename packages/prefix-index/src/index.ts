export * from './pigeonhole.js';
export * from './place.js';
export * from './quarters.js';
