export * from './replicaClient.js';
export * from './kvEvents.js';
export * from './httpClient.js';
