/** Links between simulated nodes, whose messages are delivered when the scheduler chooses them. */
import type { VirtualClock } from './virtualClock.js';

/** One run of a node's process, from its start to its crash. */
export interface Process {
  readonly node: string;
  readonly isAlive: () => boolean;
  readonly handle: (topic: string, body: unknown, from: Process) => Promise<unknown>;
}

/** A message in flight between two processes. */
export interface Message {
  readonly from: Process;
  readonly to: Process;
  /** `FROM>TO:TOPIC`, with the suffix `:reply` for a reply. Identifies the message in a script. */
  readonly label: string;
  readonly deliver: () => void;
}

/** The outcome of a call: a reply, or a timeout. */
export type CallResult = { readonly hasReply: true; readonly value: unknown } | { readonly hasReply: false };

/** Links between all nodes. Messages wait until the scheduler delivers, drops or duplicates them, in any order. */
export class Network {
  /** Messages that were sent and neither delivered nor dropped, oldest first. */
  readonly inFlight: Message[] = [];
  private readonly partitions = new Map<string, { isNoticed: boolean }>();

  constructor(private readonly clock: VirtualClock) {}

  /** Blocks one direction of a link. With `isNoticed` both ends lose their connection; otherwise messages vanish silently. */
  readonly partition = (from: string, to: string, isNoticed: boolean): void =>
    void this.partitions.set(`${from}>${to}`, { isNoticed });

  /** Restores one direction of a link; returns false if it was not blocked. */
  readonly heal = (from: string, to: string): boolean => this.partitions.delete(`${from}>${to}`);

  /** The blocked directions. */
  readonly partitionedLinks = (): (readonly [from: string, to: string])[] =>
    [...this.partitions.keys()].map((key) => key.split('>') as [string, string]);

  private readonly isPartitioned = (from: string, to: string): boolean => this.partitions.has(`${from}>${to}`);

  /** Whether both ends still have their connection: both notice a partition at the same time, or neither does. */
  readonly isConnected = (from: string, to: string): boolean =>
    this.partitions.get(`${from}>${to}`)?.isNoticed !== true &&
    this.partitions.get(`${to}>${from}`)?.isNoticed !== true;

  private readonly enqueue = (from: Process, to: Process, label: string, deliver: () => void): void =>
    void this.inFlight.push({ from, to, label: `${from.node}>${to.node}:${label}`, deliver });

  /** Sends a request and waits up to `timeoutMs` for the reply. */
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

  /** The message that a script refers to: the one at index `at` (from 0) among those with this label, oldest first. */
  readonly find = (label: string, at: number): Message | undefined =>
    this.inFlight.filter((message) => message.label === label)[at];

  /** Removes a message without delivering it. */
  readonly remove = (message: Message): void => {
    const index = this.inFlight.indexOf(message);
    if (index >= 0) this.inFlight.splice(index, 1);
  };

  /** Delivers a message; it is lost if its direction is blocked or the receiving process has ended. */
  readonly deliver = (message: Message): void => {
    if (!message.to.isAlive() || this.isPartitioned(message.from.node, message.to.node)) return;
    message.deliver();
  };
}
