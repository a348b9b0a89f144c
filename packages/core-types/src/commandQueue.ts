/** A queue that serializes access to a table or file. */

/** Runs commands one at a time, in the order in which they were added; a failed command does not stop the next. */
export class CommandQueue {
  private tail: Promise<unknown> = Promise.resolve();
  private pending = 0;

  /** Runs a command after all earlier ones. Resolves or rejects as the command does. */
  readonly run = <T>(command: () => Promise<T> | T): Promise<T> => {
    this.pending += 1;
    const completion = this.tail.then(command);
    this.tail = completion.then(
      () => {
        this.pending -= 1;
      },
      () => {
        this.pending -= 1;
      },
    );
    return completion;
  };

  /** The number of unfinished commands, including the running one. */
  readonly depth = (): number => this.pending;
}
