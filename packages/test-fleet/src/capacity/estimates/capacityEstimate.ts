/** One line of the capacity page: a cost in the planned fleet, worked out from measured runs. */
import { maxFrameBytes } from '@martenworks/peer-transport';

/** The most that a node may spend: milliseconds a second or until done, bytes held, a second or in one frame. */
export const budget = {
  cpuMs: 30,
  memoryBytes: 256_000_000,
  networkBytes: 8_000,
  propagationMs: 3_000,
  freshnessMs: 1_500,
  frameBytes: maxFrameBytes,
} as const;

/** Gives the forecast of a run at the planned size, or at another size of its dimension. */
export type CostOf = (run: string, at?: number) => number;

/** How a cost follows from the measured runs. */
export interface CapacityEstimate {
  readonly id: string;
  readonly role: string;
  readonly what: string;
  readonly unit: string;
  /** The formula as the page shows it, with the name of each run in backquotes. */
  readonly formula: string;
  /** The budget that it counts against, if any. */
  readonly budgetItem: keyof typeof budget | null;
  /** The formula scales a run beyond what was measured. */
  readonly isScaled?: true;
  readonly value: (costOf: CostOf) => number;
}
