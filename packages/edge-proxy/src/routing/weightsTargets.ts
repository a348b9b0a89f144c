/** The weights versions that models are being moved to, as control nodes announce them. */
import type { Clock, EdgeState } from '@martenworks/core-types';
import type { WeightsTarget } from './placement.js';

const maxVersions = 8;
/** Share of the bound within which a request that is sent to old weights must begin; the rest is for being late. */
const startWindowShare = 0.9;
/** Share of the bound beyond which a request is not written any more, whatever held it up since it was placed. */
const sendWindowShare = 0.95;

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

  constructor(
    private readonly clock: Clock,
    /** Milliseconds after the naming of newer weights within which a request may begin on older ones. */
    private readonly versionMs: number,
  ) {}

  /**
   * Takes the ages of targets from a state; of a version that is known already the longer age counts.
   * @returns the targets that were not known before
   */
  readonly apply = (weightsAges: EdgeState['weightsAges']): NewTarget[] => {
    const added: NewTarget[] = [];
    const now = this.clock.now();
    for (const [model, ages] of Object.entries(weightsAges)) {
      const known = this.announced.get(model) ?? [];
      const unknown = ages.filter(({ version }) => !known.some((one) => one.version === version));
      const newlyAnnounced = unknown.map(({ version, msAgo }) => ({ version, at: now - msAgo }));
      added.push(...unknown.map((age) => ({ model, ...age })));
      const earliest = known.map((one) => {
        const msAgo = ages.find(({ version }) => version === one.version)?.msAgo ?? 0;
        return { version: one.version, at: Math.min(one.at, now - msAgo) };
      });
      this.announced.set(
        model,
        [...earliest, ...newlyAnnounced].sort((a, b) => a.version - b.version).slice(-maxVersions),
      );
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

  /** Within how many milliseconds a request must begin on this version of the model; Infinity on the newest target. */
  readonly startWindowMs = (model: string, version: number): number => {
    const supersededForMs = this.supersededForMs(model, version);
    return supersededForMs === null ? Infinity : Math.max(0, this.versionMs * startWindowShare - supersededForMs);
  };

  /** Whether a request that is written now and begins within `startMs` still begins in time on this version. */
  readonly mayStartWithin = (model: string, version: number, startMs: number): boolean => {
    const supersededForMs = this.supersededForMs(model, version);
    return supersededForMs === null || supersededForMs + startMs <= this.versionMs * sendWindowShare;
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
