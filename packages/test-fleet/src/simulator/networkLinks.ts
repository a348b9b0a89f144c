/** The network links between simulated machines; each direction can be blocked or delayed on its own. */

/** Latency within a machine, and the minimum and the range of the latency between machines. */
const loopbackLatencyMs = 0.05;
const minLatencyMs = 0.2;
const latencySpreadMs = 0.8;

const keyOf = (from: string, to: string): string => `${from}>${to}`;

/** Identifies a link by the hosts at its ends; a link without a block or delay has the ordinary latency. */
export class NetworkLinks {
  private readonly blocked = new Set<string>();
  private readonly delays = new Map<string, number>();

  /** @param random numbers in [0, 1) that vary the latency */
  constructor(private readonly random: () => number) {}

  /** Blocks one direction. */
  readonly block = (from: string, to: string): void => void this.blocked.add(keyOf(from, to));
  /** Unblocks one direction. */
  readonly unblock = (from: string, to: string): void => void this.blocked.delete(keyOf(from, to));
  /** Whether messages in that direction are blocked. */
  readonly isBlocked = (from: string, to: string): boolean => this.blocked.has(keyOf(from, to));

  /** Adds to the latency of one direction, in milliseconds. */
  readonly delay = (from: string, to: string, delayMs: number): void => void this.delays.set(keyOf(from, to), delayMs);

  /** Removes all blocks and delays. */
  readonly healAll = (): void => {
    this.blocked.clear();
    this.delays.clear();
  };

  /** Returns the latency of one message in milliseconds; each call draws a new random value. */
  readonly latency = (from: string, to: string): number =>
    (from === to ? loopbackLatencyMs : minLatencyMs + this.random() * latencySpreadMs) +
    (this.delays.get(keyOf(from, to)) ?? 0);
}
