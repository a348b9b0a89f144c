/** Explores schedules of the consensus group over simulated disks and links, and checks them (docs/proof.md). */
export * from './injectedFaults.js';
export * from './checker.js';
export * from './choices.js';
export * from './explorer.js';
export * from './profiles.js';
