/** The signals that stop a role. */

/**
 * Resolves with the first SIGTERM or SIGINT. Further SIGTERMs are ignored, so that they do not interrupt requests that
 * are being drained. After the first signal, SIGINT ends the process at once, for use at a terminal.
 */
export const shutdownSignal = (): Promise<NodeJS.Signals> =>
  new Promise((resolve) => {
    const onTerminate = (): void => {
      process.removeListener('SIGINT', onInterrupt);
      resolve('SIGTERM');
    };
    const onInterrupt = (): void => resolve('SIGINT');
    process.on('SIGTERM', onTerminate);
    process.once('SIGINT', onInterrupt);
  });
