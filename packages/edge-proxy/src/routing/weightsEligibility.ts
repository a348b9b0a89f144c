/** Which weights version a replica has for a request, and whether it may still run the request with it. */
import { salts } from '@martenworks/route-table';
import type { RoutingTableView } from '@martenworks/route-table';
import type { PlacementQuery, WeightsTarget, WeightsTargetSource } from './placement.js';
import type { TrackedReplica } from './trackedReplica.js';

/** The weights version a replica would run a request with, and the scope of its prefix cache keys. */
export interface ServedWeights {
  readonly version: number | null;
  readonly salt: string | null;
}

/**
 * Decides by weights version whether a replica is eligible for a request. One on superseded weights is eligible only
 * while the request has enough time to start before they may no longer be used.
 */
export class WeightsEligibility {
  constructor(private readonly targets: WeightsTargetSource) {}

  /** The weights version that a model is being moved to; null where none was announced. */
  readonly targetOf = (model: string): WeightsTarget | null => this.targets.of(model);

  /** Whether the replica's weights allow it to run a request for the model. */
  readonly mayRun = (
    { endpoint }: TrackedReplica,
    { metadata: { model }, neededMs }: PlacementQuery,
    view: RoutingTableView,
  ): boolean => {
    if (model === null) return true;
    const version = endpoint.weights[model];
    if (version === undefined) return view.pool(endpoint.pool)?.engine === null;
    const windowMs = this.targets.startWindowMs(model, version);
    return windowMs > 0 && windowMs >= neededMs;
  };

  /** The version of the request's model that the replica runs, and the salt of its cache entries. */
  readonly servedBy = ({ endpoint }: TrackedReplica, { metadata, customer }: PlacementQuery): ServedWeights => {
    const version = metadata.model === null ? undefined : endpoint.weights[metadata.model];
    if (metadata.model === null || version === undefined) return { version: null, salt: null };
    return { version, salt: salts.of(metadata.model, version, customer) };
  };
}
