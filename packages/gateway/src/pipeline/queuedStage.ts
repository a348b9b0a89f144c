/** A pipeline stage behind a bounded queue, which is drained in a microtask. */
import { BoundedQueue } from './boundedQueue.js';

/** Calls `handle` for each queued item in order of priority, within the same turn of the event loop. */
export class QueuedStage<T> {
  private readonly queue: BoundedQueue<T>;
  private isRunning = false;

  constructor(
    limit: number,
    private readonly priorityOf: (item: T) => number,
    private readonly handle: (item: T) => void,
    private readonly onDisplaced: (item: T) => void,
  ) {
    this.queue = new BoundedQueue(limit);
  }

  /** Queues an item; if the queue is full, the item that it displaces is passed to `onDisplaced`. */
  readonly enqueue = (item: T): void => {
    const displaced = this.queue.put(item, this.priorityOf(item));
    if (displaced !== null) this.onDisplaced(displaced);
    if (this.isRunning) return;
    this.isRunning = true;
    queueMicrotask(this.drain);
  };

  private readonly drain = (): void => {
    for (let item = this.queue.take(); item !== undefined; item = this.queue.take()) this.handle(item);
    this.isRunning = false;
  };
}
