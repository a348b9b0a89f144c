/** Links between simulated nodes, whose messages move when the scheduler says so. */
import type { VirtualClock } from './virtualClock.js';

/** One run of a node's process, from its start to its crash. */
export interface Process {
  readonly node: string;
  readonly isAlive: () => boolean;
  readonly handle: (topic: string, body: unknown, from: Process) => Promise<unknown>;
}

/** A message between two processes that was sent and neither delivered nor dropped yet. */
export interface Message {
  readonly from: Process;
  readonly to: Process;
  /** `FROM>TO:TOPIC`, with `:reply` after it for an answer: names the message in a script. */
  readonly label: string;
  readonly deliver: () => void;
}

/** How a request ended: with a reply, or without one in time. */
export type CallResult = { readonly hasReply: true; readonly value: unknown } | { readonly hasReply: false };

/** Links between all nodes. Messages wait until the scheduler delivers, drops or doubles them, in any order. */
export class Network {
  /** Messages that were sent and neither delivered nor dropped, the oldest first. */
  readonly inFlight: Message[] = [];
  private readonly partitions = new Map<string, { isNoticed: boolean }>();

  constructor(private readonly clock: VirtualClock) {}

  /**
   * Cuts one direction of a link; `isNoticed` says whether both ends lose their connection or messages vanish silently.
   */
  readonly partition = (from: string, to: string, isNoticed: boolean): void =>
    void this.partitions.set(`${from}>${to}`, { isNoticed });

  /** Restores one direction of a link; false where it was not cut. */
  readonly heal = (from: string, to: string): boolean => this.partitions.delete(`${from}>${to}`);

  /** The directions that are cut. */
  readonly partitionedLinks = (): (readonly [from: string, to: string])[] =>
    [...this.partitions.keys()].map((key) => key.split('>') as [string, string]);

  private readonly isPartitioned = (from: string, to: string): boolean => this.partitions.has(`${from}>${to}`);

  /** Whether both ends still hold their connection: a cut is noticed by both at once, or not at all. */
  readonly isConnected = (from: string, to: string): boolean =>
    this.partitions.get(`${from}>${to}`)?.isNoticed !== true &&
    this.partitions.get(`${to}>${from}`)?.isNoticed !== true;

  private readonly enqueue = (from: Process, to: Process, label: string, deliver: () => void): void =>
    void this.inFlight.push({ from, to, label: `${from.node}>${to.node}:${label}`, deliver });

  /** Asks once, and waits for the answer for `patienceMs`. */
  readonly call = (from: Process, to: Process, topic: string, body: unknown, timeoutMs: number): Promise<CallResult> =>
    new Promise((resolve) => {
      const timer = this.clock.after(timeoutMs, () => {
        if (from.isAlive()) resolve({ hasReply: false });
      });
      const onReply = (value: unknown): void => {
        timer.cancel();
        resolve({ hasReply: true, value });
      };
      this.enqueue(from, to, topic, () => {
        void to.handle(topic, body, from).then((value) => {
          if (to.isAlive()) this.enqueue(to, from, `${topic}:reply`, () => onReply(value));
        });
      });
    });

  /** Sends a message without a reply. */
  readonly send = (from: Process, to: Process, topic: string, body: unknown): void =>
    this.enqueue(from, to, topic, () => void to.handle(topic, body, from));

  /** The message that a script names: the `at`-th of those with this label, the oldest first. */
  readonly find = (label: string, at: number): Message | undefined =>
    this.inFlight.filter((message) => message.label === label)[at];

  /** Takes a message off the network without delivering it. */
  readonly remove = (message: Message): void => {
    const index = this.inFlight.indexOf(message);
    if (index >= 0) this.inFlight.splice(index, 1);
  };

  /** Hands a message over; it is lost where the link is cut or either process has ended. */
  readonly deliver = (message: Message): void => {
    if (!message.to.isAlive() || this.isPartitioned(message.from.node, message.to.node)) return;
    message.deliver();
  };
}
