export * from './prefixIndex.js';
export * from './placement.js';
export * from './tenantPartitions.js';
