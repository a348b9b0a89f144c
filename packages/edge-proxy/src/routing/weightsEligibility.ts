/** Which weights a replica has for a request, and whether it may still run it with them. */
import { salts } from '@martenworks/route-table';
import type { RoutingTableView } from '@martenworks/route-table';
import type { PlacementQuery, WeightsTarget } from './placement.js';
import type { TrackedReplica } from './trackedReplica.js';

/** The weights version a replica would run a request with, and the scope of its prefix cache keys. */
export interface ServedWeights {
  readonly version: number | null;
  readonly salt: string | null;
}

/** Admits replicas to a request by their weights versions: old ones only for a while after a newer target was named. */
export class WeightsEligibility {
  constructor(
    /** The weights version that a model is being moved to; null where none was announced. */
    readonly targetOf: (model: string) => WeightsTarget | null,
    private readonly oldWeightsForMs: number,
  ) {}

  /** Whether the replica's weights allow it to run a request for the model. */
  readonly mayRun = ({ endpoint }: TrackedReplica, model: string | null, view: RoutingTableView): boolean => {
    if (model === null) return true;
    const version = endpoint.weights[model];
    if (version === undefined) return view.pool(endpoint.pool)?.engine === null;
    const target = this.targetOf(model);
    if (target === null) return true;
    return [target, ...(target.earlier ?? [])].every(
      (one) => version >= one.version || one.sinceMs < this.oldWeightsForMs,
    );
  };

  /** The version of the request's model that the replica runs, and the salt that its cache entries have. */
  readonly servedBy = ({ endpoint }: TrackedReplica, { order, customer }: PlacementQuery): ServedWeights => {
    const version = order.model === null ? undefined : endpoint.weights[order.model];
    if (order.model === null || version === undefined) return { version: null, salt: null };
    return { version, salt: salts.of(order.model, version, customer) };
  };
}
