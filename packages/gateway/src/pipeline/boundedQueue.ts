/** A bounded priority queue between two stages of the pipeline. */
import { Heap } from 'heap-js';

interface QueueEntry<T> {
  readonly item: T;
  readonly priority: number;
  /** Order of arrival, which breaks ties between equal priorities. */
  readonly sequence: number;
}

const compareEntries = <T>(a: QueueEntry<T>, b: QueueEntry<T>): number =>
  a.priority - b.priority || a.sequence - b.sequence;

/** Holds at most `limit` items; the item with the lowest priority number comes first. */
export class BoundedQueue<T> {
  private readonly heap = new Heap<QueueEntry<T>>(compareEntries);
  private readonly entries = new Map<T, QueueEntry<T>>();
  private sequence = 0;

  constructor(private readonly limit: number) {}

  /** Adds an item. If the queue is full, removes and returns its last item, which may be the new one; else null. */
  readonly put = (item: T, priority: number): T | null => {
    const entry = { item, priority, sequence: ++this.sequence };
    this.heap.push(entry);
    this.entries.set(item, entry);
    if (this.entries.size <= this.limit) return null;
    const last = this.lastFrom(entry);
    this.remove(last.item);
    return last.item;
  };

  private readonly lastFrom = (start: QueueEntry<T>): QueueEntry<T> => {
    let last = start;
    for (const entry of this.entries.values()) if (compareEntries(entry, last) > 0) last = entry;
    return last;
  };

  /** Removes and returns the first item; undefined if the queue is empty. */
  readonly take = (): T | undefined => {
    const entry = this.heap.pop();
    if (entry !== undefined) this.entries.delete(entry.item);
    return entry?.item;
  };

  private readonly remove = (item: T): void => {
    const entry = this.entries.get(item);
    if (entry === undefined) return;
    this.entries.delete(item);
    this.heap.remove(entry, (a, b) => a === b);
  };
}
