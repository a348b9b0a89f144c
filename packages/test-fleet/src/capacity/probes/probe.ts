/** The interface of capacity probes. */
import type { Measurement } from '../table.js';

/** Measures one part of a node at several sizes, in a process of its own. */
export interface Probe {
  /** The name in `--only`. */
  readonly name: string;
  readonly measure: () => Promise<Measurement[]>;
}
