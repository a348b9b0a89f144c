/** The edge proxy: accepts callers' requests, selects a replica for each and relays the response. */
export * from './ingress/call.js';
export * from './ingress/headerLists.js';
export * from './ingress/ingressServer.js';
export * from './ingress/webCall.js';
export * from './edgeProxy.js';
export * from './control/controlConnection.js';
export * from './control/edgeMessages.js';
export * from './prefixcache/prefixCacheIndex.js';
export * from './routing/replicaTracker.js';
export * from './routing/replicaSelector.js';
export * from './routing/placement.js';
export * from './routing/weightsTargets.js';
export * from './forwarding/retryBudget.js';
export * from './forwarding/eventSplitter.js';
export * from './forwarding/oldWeightsReport.js';
export * from './edgeContext.js';
export * from './prefixcache/staleEntryDetector.js';
