/** What every capacity probe has in common. */
import type { Measurement } from '../table.js';

/** Measures one part of a node at several sizes, in a process of its own. */
export interface Probe {
  /** As the user names it in `--only`. */
  readonly name: string;
  readonly measure: () => Promise<Measurement[]>;
}
