/** Cluster membership, failure detection and leases. */
export * from './memberList.js';
export * from './peerPool.js';
export { leaseMs } from './leaseTerms.js';
export type { LeaseReply, LeaseRequest, LeaseTerms } from './leaseTerms.js';
export * from './leaseTable.js';
export * from './leaseManager.js';
export * from './fencingTokenCheck.js';
export * from './hashRing.js';
export * from './heartbeatMonitor.js';
export * from './failureVerdicts.js';
export * from './failureDetector.js';
