/** Merging of what two sources tell of one replica. */
import type { ReplicaEndpoint } from './routing.js';

/** Joins endpoints that were received with those known. */
export const replicaEndpoints = {
  /**
   * The received endpoint, merged with the one known before under the same id. An id names one incarnation of a
   * replica, within which weights versions never decrease and leaving is never taken back; a list that was read earlier
   * may arrive later.
   */
  merge: (received: ReplicaEndpoint, known: ReplicaEndpoint): ReplicaEndpoint => {
    const weights = { ...received.weights };
    for (const [model, version] of Object.entries(known.weights))
      weights[model] = Math.max(version, weights[model] ?? 0);
    return { ...received, weights, isLeaving: received.isLeaving || known.isLeaving };
  },
};
