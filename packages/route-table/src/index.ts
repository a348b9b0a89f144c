/** Routing tables: validation, lookup, patches and the packed form that is sent to edges. */
export * from './routingTables.js';
export * from './routeLookup.js';
export * from './salts.js';
export * from './patches.js';
export * from './packedRoutingTables.js';
