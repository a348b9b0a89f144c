/** Since when the target versions of models' weights are named, as far as any control node remembers. */
import type { Clock, EdgeStateMessage } from '@martenworks/core-types';

const versionsKept = 8;

interface NamedVersion {
  readonly version: number;
  readonly at: number;
}

/** How long ago each version of a model was named, in milliseconds, by model. */
export type WeightsAges = EdgeStateMessage['weightsAges'];

/**
 * Remembers when this node first heard of each target. A node that restarts, or hears late, would count a target's age
 * from then; it takes the longer age from the others, so that an edge which starts after it counts right.
 */
export class TargetWeightsAges {
  private readonly named = new Map<string, readonly NamedVersion[]>();

  constructor(private readonly clock: Clock) {}

  private readonly put = (model: string, version: number, at: number): void => {
    const held = this.named.get(model) ?? [];
    const known = held.find((one) => one.version === version);
    if (known !== undefined && known.at <= at) return;
    const others = held.filter((one) => one !== known);
    const versions = [...others, { version, at }].sort((a, b) => a.version - b.version);
    this.named.set(model, versions.slice(-versionsKept));
  };

  /** Takes the targets of the committed state; those that are not known yet are named now. */
  readonly recordTargets = (targetWeights: Readonly<Record<string, number>>): void => {
    const now = this.clock.now();
    for (const [model, version] of Object.entries(targetWeights)) this.put(model, version, now);
  };

  /** Takes what another control node remembers; the longer age of a version counts. */
  readonly mergeAges = (ages: WeightsAges): void => {
    const now = this.clock.now();
    for (const [model, list] of Object.entries(ages))
      for (const { version, msAgo } of list) this.put(model, version, now - msAgo);
  };

  /** How long ago the latest versions of each model were named. */
  readonly ages = (): WeightsAges => {
    const now = this.clock.now();
    return Object.fromEntries(
      [...this.named].map(([model, list]) => [
        model,
        list.map(({ version, at }) => ({ version, msAgo: Math.round(now - at) })),
      ]),
    );
  };
}
