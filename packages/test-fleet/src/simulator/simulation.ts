/** Interfaces between the parts of the simulator; implemented in `simWorld` and `simMachine`. */
import type { WebHandler, RawConnection } from '@martenworks/core-types';
import type { SimLink } from './simLink.js';

/** An event at a virtual time; it is dropped if its machine crashes or restarts first. */
export interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  /** Null for an event that belongs to no machine. */
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

/** A machine as the network and the event queue use it. */
export interface SimulatedMachine {
  readonly world: Simulation;
  readonly host: string;
  readonly isUp: boolean;
  /** The machine does not respond at all, not even with a reset. */
  readonly isVanished: boolean;
  readonly isFrozen: boolean;
  /** Increases with each crash and each restart. */
  readonly incarnation: number;
  /** The limited links of the machine; null for unlimited bandwidth. */
  readonly outbound: SimLink | null;
  readonly inbound: SimLink | null;
  /** Events that came due while the machine was frozen. */
  readonly postponed: ScheduledEvent[];
  /** Called when the machine crashes; `isReset` says whether the other ends are notified. */
  readonly crashListeners: Set<(isReset: boolean) => void>;
  /** One entry per open response. */
  readonly openResponses: Set<() => void>;
  /** Returns the listener that accepts connections at the address, if any. */
  readonly listenerAt: (address: string) => ((connection: RawConnection) => void) | undefined;
  /** Returns the handler of HTTP requests at the address, if any. */
  readonly handlerAt: (address: string) => WebHandler | undefined;
}
