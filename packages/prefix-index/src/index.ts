/** The gateway's prefix index, cost-based placement, and the partitioning of replicas between isolated tenants. */
export * from './prefixIndex.js';
export * from './placement.js';
export * from './tenantPartitions.js';
