export * from './httpServer.js';
export * from './main.js';
