/** Model checker: explores schedules of the consensus group on simulated disks and links, and checks each one (docs/proof.md). */
export * from './injectedFaults.js';
export * from './checker.js';
export * from './choices.js';
export * from './explorer.js';
export * from './profiles.js';
