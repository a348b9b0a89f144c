export * from './backWire.js';
export * from './kvFollow.js';
export * from './carriage.js';
