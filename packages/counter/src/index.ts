export * from './counter.js';
export * from './callerWire.js';
export * from './operatorPages.js';
export * from './parcel.js';
export * from './pipe.js';
export * from './budget.js';
export * from './freshness.js';
export * from './claims.js';
