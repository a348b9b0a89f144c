/** A queue that gives a table or file one owner. */

/** Runs commands one after another, in the order they were given; one that fails does not hold up the next. */
export class CommandQueue {
  private tail: Promise<unknown> = Promise.resolve();
  private waiting = 0;

  /** Runs a command after all earlier ones. Resolves or rejects as it does. */
  readonly run = <T>(command: () => Promise<T> | T): Promise<T> => {
    this.waiting += 1;
    const turn = this.tail.then(command);
    this.tail = turn.then(
      () => {
        this.waiting -= 1;
      },
      () => {
        this.waiting -= 1;
      },
    );
    return turn;
  };

  /** Commands that have not ended, the running one among them. */
  readonly depth = (): number => this.waiting;
}
