/** Merges two versions of the endpoint of one replica. */
import type { ReplicaEndpoint } from './routing.js';

/** Merges received endpoints with known ones. */
export const replicaEndpoints = {
  /**
   * Merges a received endpoint with the known one of the same id. An id names one incarnation of a replica, within
   * which weights versions never decrease and `isLeaving` is never reset. The merge preserves this, since an older list
   * may arrive after a newer one.
   */
  merge: (received: ReplicaEndpoint, known: ReplicaEndpoint): ReplicaEndpoint => {
    const weights = { ...received.weights };
    for (const [model, version] of Object.entries(known.weights))
      weights[model] = Math.max(version, weights[model] ?? 0);
    return { ...received, weights, isLeaving: received.isLeaving || known.isLeaving };
  },
};
