/** Runs asynchronous work that nobody awaits and makes its failures visible as one typed error. */

/**
 * The rejection of background work. It means a broken invariant, since expected failures are returned as results.
 */
export class BackgroundTaskError extends Error {
  /** Stable code of this failure, logged in the field `code`. */
  readonly code = 'BACKGROUND_TASK_FAILED';

  /**
   * @param task a short description of the work, the same for each run
   * @param reason the rejection's reason
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
 * Runs work that nobody awaits.
 *
 * A rejection is rethrown as a {@link BackgroundTaskError}, which Node turns into an uncaught exception: the process
 * logs it and exits, because its state can no longer be trusted.
 *
 * @param task a short description of the work
 */
const run = (task: string, work: PromiseLike<unknown>): void => {
  void work.then(undefined, (reason: unknown) => {
    throw new BackgroundTaskError(task, reason);
  });
};

/** Runs work in the background. */
export const background = { run };
