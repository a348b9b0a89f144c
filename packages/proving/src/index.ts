export { SimWorld } from './sim/simWorld.js';
export type { SimMachine } from './sim/simWorld.js';
