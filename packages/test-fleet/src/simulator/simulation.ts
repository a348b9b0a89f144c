/** What the parts of the simulator need of the world and of machines; the classes are in `simWorld` and `simMachine`. */
import type { WebHandler, RawConnection } from '@martenworks/core-types';
import type { SimLink } from './simLink.js';

/** Something that happens at a virtual time, unless its machine crashed by then. */
export interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  /** Null: it happens whatever becomes of the machines. */
  readonly machine: SimulatedMachine | null;
  readonly incarnation: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

/** One line that a simulated process logged. */
export interface LogLine {
  /** Virtual milliseconds since the start. */
  readonly at: number;
  readonly machine: string;
  readonly message: string;
  readonly context: Record<string, unknown>;
}

/** Virtual time, the network and the machines on it. */
export interface Simulation {
  /** Virtual milliseconds since the start. */
  readonly time: number;
  readonly random: () => number;
  readonly logLines: LogLine[];
  readonly onWrite: ((from: string, to: string, bytes: Uint8Array) => void) | null;
  readonly machine: (host: string) => SimulatedMachine;
  readonly schedule: (machine: SimulatedMachine | null, delayMs: number, callback: () => void) => ScheduledEvent;
  readonly sleep: (delayMs: number, machine?: SimulatedMachine | null) => Promise<void>;
  readonly isBlocked: (from: string, to: string) => boolean;
  readonly latency: (from: string, to: string) => number;
}

/** A machine as the network and the event queue see it. */
export interface SimulatedMachine {
  readonly world: Simulation;
  readonly host: string;
  readonly isUp: boolean;
  /** The machine answers nothing, not even with a reset. */
  readonly isVanished: boolean;
  readonly isFrozen: boolean;
  /** Rises with each crash and each restart. */
  readonly incarnation: number;
  /** The widths of the machine's link; null: unlimited. */
  readonly outbound: SimLink | null;
  readonly inbound: SimLink | null;
  /** Events that came due in a pause. */
  readonly postponed: ScheduledEvent[];
  /** Called when the machine crashes; `isReset` tells whether the other ends notice. */
  readonly crashListeners: Set<(isReset: boolean) => void>;
  /** Responses under way. */
  readonly openResponses: Set<() => void>;
  /** What accepts connections at the address, if anything does. */
  readonly listenerAt: (address: string) => ((wire: RawConnection) => void) | undefined;
  /** What answers HTTP requests at the address, if anything does. */
  readonly handlerAt: (address: string) => WebHandler | undefined;
}
