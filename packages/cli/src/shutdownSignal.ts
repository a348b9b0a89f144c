/** The signals by which an operator or a service manager stops a role. */

/** Resolves with the name of the first SIGTERM or SIGINT. A second one ends the process in the usual way. */
export const shutdownSignal = (): Promise<NodeJS.Signals> =>
  new Promise((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
