/** Tracks when each target version of a model's weights was set. */
import type { Clock, EdgeStateMessage } from '@martenworks/core-types';

const maxVersionsPerModel = 8;

interface TargetVersion {
  readonly version: number;
  readonly setAt: number;
}

/** How many milliseconds ago each target version was set, by model. */
export type WeightsAges = EdgeStateMessage['weightsAges'];

/**
 * Tracks when each target version was first seen. A control node that restarts or learns of a target late would count
 * its age from that time, so it adopts the longer ages that other control nodes report. Edges that connect to it then
 * get the correct age.
 */
export class TargetWeightsAges {
  private readonly versionsByModel = new Map<string, readonly TargetVersion[]>();

  constructor(private readonly clock: Clock) {}

  private readonly add = (model: string, version: number, setAt: number): void => {
    const versions = this.versionsByModel.get(model) ?? [];
    const known = versions.find((one) => one.version === version);
    if (known !== undefined && known.setAt <= setAt) return;
    const others = versions.filter((one) => one !== known);
    const sorted = [...others, { version, setAt }].sort((a, b) => a.version - b.version);
    this.versionsByModel.set(model, sorted.slice(-maxVersionsPerModel));
  };

  /** Records the targets of the committed state; the age of a new target starts now. */
  readonly recordTargets = (targetWeights: Readonly<Record<string, number>>): void => {
    const now = this.clock.now();
    for (const [model, version] of Object.entries(targetWeights)) this.add(model, version, now);
  };

  /** Merges the ages that another control node reports; the longer age of each version wins. */
  readonly mergeAges = (ages: WeightsAges): void => {
    const now = this.clock.now();
    for (const [model, list] of Object.entries(ages))
      for (const { version, msAgo } of list) this.add(model, version, now - msAgo);
  };

  /** Returns the ages of the latest 8 target versions of each model. */
  readonly ages = (): WeightsAges => {
    const now = this.clock.now();
    return Object.fromEntries(
      [...this.versionsByModel].map(([model, list]) => [
        model,
        list.map(({ version, setAt }) => ({ version, msAgo: Math.round(now - setAt) })),
      ]),
    );
  };
}
