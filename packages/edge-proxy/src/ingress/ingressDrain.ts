/** Graceful shutdown of an edge's ingress server. */
import type { Clock } from '@martenworks/core-types';
import type { IngressServer } from './ingressServer.js';

const acceptMs = 2_600;
const reserveMs = 700;
const pollIntervalMs = 50;

/** Drains an ingress server before its process exits. */
export const ingressDrain = {
  /**
   * Keeps accepting connections for a while, so that load balancers notice that the edge is no longer ready. Then waits
   * until no request is running, at most until shortly before `drainMs` milliseconds have passed.
   */
  run: async (clock: Clock, ingress: IngressServer, drainMs: number, isIdle: () => boolean): Promise<void> => {
    const startedAt = clock.now();
    const pause = (): Promise<void> => new Promise((wake) => void clock.after(pollIntervalMs, wake));
    while (clock.now() - startedAt < Math.min(acceptMs, drainMs / 2)) await pause();
    ingress.stopAccepting();
    while (clock.now() - startedAt < drainMs - reserveMs) {
      ingress.closeIdle();
      if (isIdle() && (await ingress.hasNoConnections())) return;
      await pause();
    }
  },
};
