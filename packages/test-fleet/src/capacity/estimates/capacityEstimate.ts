/** A capacity estimate: a cost in the planned fleet, computed from measured runs. */
import { maxFrameBytes } from '@martenworks/peer-transport';

/** Limits per node: CPU ms per second, ms until done, bytes in memory, bytes per second on the network or per frame. */
export const budget = {
  cpuMs: 30,
  memoryBytes: 256_000_000,
  networkBytes: 8_000,
  propagationMs: 3_000,
  freshnessMs: 1_500,
  frameBytes: maxFrameBytes,
} as const;

/** Returns the forecast of a run at the planned size, or at another size of its dimension. */
export type CostOf = (run: string, at?: number) => number;

/** A cost and the formula that computes it from measured runs. */
export interface CapacityEstimate {
  readonly id: string;
  readonly role: string;
  readonly what: string;
  readonly unit: string;
  /** The formula as the table shows it, with the name of each run in backquotes. */
  readonly formula: string;
  /** The budget that applies to it, if any. */
  readonly budgetItem: keyof typeof budget | null;
  /** Set if the formula scales a run beyond the measured sizes. */
  readonly isScaled?: true;
  readonly value: (costOf: CostOf) => number;
}
