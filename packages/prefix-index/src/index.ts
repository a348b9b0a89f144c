/** The gateway's prefix index, placement by estimated cost, and partitions of replicas for isolated tenants. */
export * from './prefixIndex.js';
export * from './placement.js';
export * from './tenantPartitions.js';
