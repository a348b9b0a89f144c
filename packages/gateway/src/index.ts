/** The gateway: the data-plane node that serves completion requests. */
export * from './gateway.js';
export * from './api/callerApi.js';
export * from './api/operatorPages.js';
export * from './gatewayRequest.js';
export * from './pipeline/boundedQueue.js';
export * from './limits/retryBudget.js';
export * from './peers/peerMessages.js';
export * from './state/freshness.js';
export * from './claims/claims.js';
export * from './state/stateView.js';
export * from './replicas/replicaTracker.js';
