/** Reports attempts at replicas whose weights are older than the target: when each was sent and when it started. */
import type { Admission, EdgeContext } from '../edgeContext.js';
import type { Placement } from '../routing/placement.js';

/** Tracks one attempt from sending to its first response chunk; ignores attempts on the newest weights. */
export class OldWeightsReport {
  private readonly sentAfterMs: number | null;

  constructor(
    private readonly context: EdgeContext,
    private readonly admission: Admission,
    private readonly placed: Placement,
  ) {
    this.sentAfterMs = this.supersededForMs();
    if (this.sentAfterMs !== null) context.metrics.add('attempts_on_old_weights');
  }

  private readonly supersededForMs = (): number | null => {
    const { model } = this.admission.metadata;
    const { version } = this.placed;
    return model === null || version === null ? null : this.context.weightsTargets.supersededForMs(model, version);
  };

  /** Records that the first chunk arrived: the request started shortly before, on the version it was sent for. */
  readonly recordStart = (): void => {
    const beganAfterMs = this.supersededForMs();
    if (beganAfterMs === null || beganAfterMs <= this.context.settings.versionMs) return;
    this.context.metrics.add('began_late_on_old_weights');
    this.context.ports.log.warn('request began late on old weights', {
      order: this.admission.metadata.id,
      model: this.admission.metadata.model,
      version: this.placed.version,
      replica: this.placed.tracked.endpoint.id,
      sentAfterMs: this.sentAfterMs,
      beganAfterMs,
    });
  };
}
