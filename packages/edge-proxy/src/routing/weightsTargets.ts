/** The weights versions that models are being moved to, as control nodes announce them. */
import type { Clock, EdgeState } from '@martenworks/core-types';
import type { WeightsTarget } from './placement.js';

const versionsKept = 8;

interface AnnouncedVersion {
  readonly version: number;
  readonly at: number;
}

/** Remembers the latest targets of each model, and since when each is known. */
export class WeightsTargets {
  private readonly announced = new Map<string, readonly AnnouncedVersion[]>();

  constructor(private readonly clock: Clock) {}

  /** Takes the ages of targets from a state; a version that is known already keeps its time. */
  readonly take = (weightsAges: EdgeState['weightsAges']): void => {
    const now = this.clock.now();
    for (const [model, ages] of Object.entries(weightsAges)) {
      const known = this.announced.get(model) ?? [];
      const fresh = ages
        .filter(({ version }) => !known.some((one) => one.version === version))
        .map(({ version, msAgo }) => ({ version, at: now - msAgo }));
      this.announced.set(model, [...known, ...fresh].sort((a, b) => a.version - b.version).slice(-versionsKept));
    }
  };

  /** The highest target of a model with the ones before it; null where none was announced. */
  readonly of = (model: string): WeightsTarget | null => {
    const now = this.clock.now();
    const [newest, ...earlier] = (this.announced.get(model) ?? [])
      .map(({ version, at }) => ({ version, sinceMs: now - at }))
      .reverse();
    return newest === undefined ? null : { ...newest, earlier };
  };
}
