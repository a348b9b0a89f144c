/** Runs asynchronous work that nobody awaits, so that its failure ends in one typed report and never in silence. */

/** A piece of background work was rejected: a broken invariant, since expected failures are results, not rejections. */
export class BackgroundTaskError extends Error {
  /** Stable name of this failure, in the log's field `code`. */
  readonly code = 'BACKGROUND_TASK_FAILED';

  /**
   * @param task what the work was for, in a few words, the same for each run of it
   * @param reason what it was rejected with
   */
  constructor(
    readonly task: string,
    reason: unknown,
  ) {
    super(`${task}: ${String(reason)}`, { cause: reason });
    this.name = 'BackgroundTaskError';
  }
}

/**
 * Lets work run that nobody awaits.
 *
 * A rejection is rethrown as a {@link BackgroundTaskError}, which Node turns into an uncaught exception: the roles log
 * it and end, because their state can no longer be trusted. Work that is fulfilled leaves no trace.
 *
 * @param task what the work is for, in a few words
 */
const run = (task: string, work: PromiseLike<unknown>): void => {
  void work.then(undefined, (reason: unknown) => {
    throw new BackgroundTaskError(task, reason);
  });
};

/** Work that nobody awaits. */
export const background = { run };
