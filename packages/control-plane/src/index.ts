/**
 * The control plane: consensus on the configuration, cluster membership, endpoint lists, prefix caches, and the two
 * kinds of control node.
 */
export * from './consensus/acceptor.js';
export * from './consensus/ballots.js';
export * from './consensus/catchUp.js';
export { catchUpTopics, pageBytes } from './consensus/catchUpMessages.js';
export type { Page } from './consensus/catchUpMessages.js';
export * from './consensus/compression.js';
export * from './consensus/proposer.js';
export * from './consensus/quorumCall.js';
export * from './configuration/gatewayPublisher.js';
export * from './nodes/gatewayControlNode.js';
export * from './api/operatorApi.js';
export * from './api/replicaApi.js';
export * from './consensus/recovery.js';
export * from './nodes/controlNode.js';
export { controlNodeSettings } from './nodes/controlNodeSettings.js';
export * from './configuration/configService.js';
export * from './errors.js';
export * from './prefixcache/kvEventFollower.js';
export * from './endpoints/claimTable.js';
export { edgeMessages } from './messages/edgeMessages.js';
export { gatewayMessages } from './messages/gatewayMessages.js';
export type { MemberStatus } from './membership/bootstrapMessages.js';
export * from './consensus/leaseLog.js';
export * from './consensus/consensusMember.js';
export * from './consensus/consensusOptions.js';
export * from './membership/membership.js';
export * from './endpoints/replicaTable.js';
export * from './configuration/routingTableHistory.js';
export * from './configuration/targetWeightsAges.js';
export * from './configuration/statePublisher.js';
export * from './prefixcache/prefixCacheFollower.js';
export * from './endpoints/endpointListReader.js';
export * from './weights/weightsRollout.js';
export * from './api/controlApp.js';
