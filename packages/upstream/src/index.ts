/** The HTTP side towards replicas: the client, the completion protocol and the cache event stream. */
export * from './replicaProtocol.js';
export * from './kvEvents.js';
export * from './httpClient.js';
