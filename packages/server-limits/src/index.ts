/** Bounds for what clients make an HTTP server hold: connections, bodies, requests in flight and unread responses. */
export * from './processLimits.js';
export * from './memoryBudget.js';
export * from './bodyBuffer.js';
export * from './incomingBody.js';
export * from './connectionLimit.js';
export * from './boundedBodies.js';
export * from './jsonCost.js';
