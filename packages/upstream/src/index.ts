/** HTTP towards replicas: the client, the completion protocol and cache events. */
export * from './replicaClient.js';
export * from './kvEvents.js';
export * from './httpClient.js';
