/** The links between simulated machines: which are blocked or delayed, each way for itself. */

/** Latency within a machine, and the least and the spread of that between machines. */
const loopbackLatencyMs = 0.05;
const minLatencyMs = 0.2;
const latencySpreadMs = 0.8;

const keyOf = (from: string, to: string): string => `${from}>${to}`;

/** Links are named by the hosts at their ends; those never named work at the ordinary latency. */
export class NetworkLinks {
  private readonly blocked = new Set<string>();
  private readonly delays = new Map<string, number>();

  /** @param random gives the spread of the latency */
  constructor(private readonly random: () => number) {}

  /** Blocks one direction. */
  readonly block = (from: string, to: string): void => void this.blocked.add(keyOf(from, to));
  /** Ends the block of one direction. */
  readonly unblock = (from: string, to: string): void => void this.blocked.delete(keyOf(from, to));
  /** Whether messages in that direction are held back. */
  readonly isBlocked = (from: string, to: string): boolean => this.blocked.has(keyOf(from, to));

  /** Adds to the latency of one direction, in milliseconds. */
  readonly delay = (from: string, to: string, delayMs: number): void => void this.delays.set(keyOf(from, to), delayMs);

  /** Ends all blocks and delays. */
  readonly healAll = (): void => {
    this.blocked.clear();
    this.delays.clear();
  };

  /** Milliseconds that a message takes; each call draws anew. */
  readonly latency = (from: string, to: string): number =>
    (from === to ? loopbackLatencyMs : minLatencyMs + this.random() * latencySpreadMs) +
    (this.delays.get(keyOf(from, to)) ?? 0);
}
