/** The weights versions that models are being moved to, as control nodes announce them. */
import type { Clock, EdgeState } from '@martenworks/core-types';
import type { WeightsTarget } from './placement.js';

const versionsKept = 8;

interface AnnouncedVersion {
  readonly version: number;
  readonly at: number;
}

/** A target as it was announced, and how long ago in milliseconds it was named. */
interface NewTarget {
  readonly model: string;
  readonly version: number;
  readonly msAgo: number;
}

/** Remembers the latest targets of each model, and since when each is known. */
export class WeightsTargets {
  private readonly announced = new Map<string, readonly AnnouncedVersion[]>();

  constructor(private readonly clock: Clock) {}

  /**
   * Takes the ages of targets from a state; a version that is known already keeps its time.
   * @returns the targets that were not known before
   */
  readonly take = (weightsAges: EdgeState['weightsAges']): NewTarget[] => {
    const added: NewTarget[] = [];
    const now = this.clock.now();
    for (const [model, ages] of Object.entries(weightsAges)) {
      const known = this.announced.get(model) ?? [];
      const unknown = ages.filter(({ version }) => !known.some((one) => one.version === version));
      const fresh = unknown.map(({ version, msAgo }) => ({ version, at: now - msAgo }));
      added.push(...unknown.map((age) => ({ model, ...age })));
      this.announced.set(model, [...known, ...fresh].sort((a, b) => a.version - b.version).slice(-versionsKept));
    }
    return added;
  };

  /**
   * For how many milliseconds a newer target than this version has been known, the one known longest counting; null
   * where none is newer.
   */
  readonly supersededForMs = (model: string, version: number): number | null => {
    const newer = (this.announced.get(model) ?? []).filter((one) => one.version > version);
    return newer.length === 0 ? null : this.clock.now() - Math.min(...newer.map(({ at }) => at));
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
