/** The command line of the gateway roles, and the parts that other programs share. */
export * from './exitCodes.js';
export * from './httpServer.js';
export * from './main.js';
export * from './shutdownSignal.js';
