/** HTTP towards replicas: the client, the completion protocol and cache events. */
export * from './replicaProtocol.js';
export * from './kvEvents.js';
export * from './httpClient.js';
