/** Routing tables: checks, lookup, patches and the form in which they travel. */
export * from './routingTables.js';
export * from './routeLookup.js';
export * from './salts.js';
export * from './patches.js';
export * from './packedRoutingTables.js';
