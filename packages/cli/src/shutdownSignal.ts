/** The signals by which an operator or a service manager stops a role. */

/**
 * Resolves with the name of the first SIGTERM or SIGINT. A SIGTERM that comes again changes nothing: requests that are
 * being drained would be cut. After the first signal, SIGINT ends the process at once, for whoever sits at a terminal.
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
