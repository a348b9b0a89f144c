export * from './memberList.js';
export * from './peerPool.js';
export * from './leases.js';
export * from './ring.js';
export * from './heartbeatMonitor.js';
export * from './failureDetector.js';
