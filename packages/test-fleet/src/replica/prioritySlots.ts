/** A fixed number of slots, granted to waiting requests by priority, and in order of arrival among equal priorities. */

/** A request waiting for a slot. */
interface Waiting {
  readonly priority: number;
  readonly order: number;
  readonly wake: () => void;
}

/** Grants slots; lower priority values go first. */
export class PrioritySlots {
  private readonly waiting: Waiting[] = [];
  private inUse = 0;
  private order = 0;

  constructor(private readonly count: number) {}

  /** Whether all slots are in use. */
  readonly isFull = (): boolean => this.inUse >= this.count;

  /** Resolves once the caller has a slot, which it must release. */
  readonly acquire = (priority: number): Promise<void> => {
    if (!this.isFull()) {
      this.inUse += 1;
      return Promise.resolve();
    }
    return new Promise((wake) => {
      this.waiting.push({ priority, order: ++this.order, wake });
      this.waiting.sort((a, b) => a.priority - b.priority || a.order - b.order);
    });
  };

  /** Passes the slot to the next waiting request, if any. */
  readonly release = (): void => {
    const next = this.waiting.shift();
    if (next === undefined) this.inUse -= 1;
    else next.wake();
  };
}
