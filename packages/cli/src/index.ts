/** The command line of the product's own roles, and what other programs share with it. */
export * from './exitCodes.js';
export * from './httpServer.js';
export * from './main.js';
export * from './shutdownSignal.js';
