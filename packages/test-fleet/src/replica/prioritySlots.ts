/** A fixed number of slots that waiting requests get by priority, and among equals in the order in which they came. */

/** A request that waits for a slot. */
interface Waiting {
  readonly priority: number;
  readonly order: number;
  readonly wake: () => void;
}

/** Lower priorities go first. */
export class PrioritySlots {
  private readonly waiting: Waiting[] = [];
  private taken = 0;
  private order = 0;

  constructor(private readonly count: number) {}

  /** Whether nobody would get a slot at once. */
  readonly isFull = (): boolean => this.taken >= this.count;

  /** Resolves once a slot is the caller's, who must release it. */
  readonly acquire = (priority: number): Promise<void> => {
    if (!this.isFull()) {
      this.taken += 1;
      return Promise.resolve();
    }
    return new Promise((wake) => {
      this.waiting.push({ priority, order: ++this.order, wake });
      this.waiting.sort((a, b) => a.priority - b.priority || a.order - b.order);
    });
  };

  /** Hands the slot to the next that waits. */
  readonly release = (): void => {
    const next = this.waiting.shift();
    if (next === undefined) this.taken -= 1;
    else next.wake();
  };
}
