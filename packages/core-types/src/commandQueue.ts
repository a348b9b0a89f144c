export class CommandQueue {
  private tail: Promise<unknown> = Promise.resolve();
  private waiting = 0;

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

  readonly depth = (): number => this.waiting;
}
