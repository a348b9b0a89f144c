/** Tracks the weights versions that models are being moved to, as announced by control nodes. */
import type { Clock, EdgeState } from '@martenworks/core-types';
import type { WeightsTarget } from './placement.js';

const maxVersions = 8;
/** Share of `versionMs` within which a request sent to superseded weights must start; the rest is a safety margin. */
const startWindowShare = 0.9;
/** A request delayed after its placement is sent only if its start window ends within this share of `versionMs`. */
const sendWindowShare = 0.95;

interface AnnouncedVersion {
  readonly version: number;
  readonly at: number;
}

/** A newly announced target, and how many milliseconds ago it was set. */
interface NewTarget {
  readonly model: string;
  readonly version: number;
  readonly msAgo: number;
}

/** The latest targets of each model, and since when each has been the target. */
export class WeightsTargets {
  private readonly announced = new Map<string, readonly AnnouncedVersion[]>();

  constructor(
    private readonly clock: Clock,
    /** Milliseconds after a newer target was set within which a request may start on older weights. */
    private readonly versionMs: number,
  ) {}

  /**
   * Applies the target ages of a state; for a version that is already known, the longer age counts.
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
   * Milliseconds since this version was first superseded by a newer target; null where there is no newer one.
   */
  readonly supersededForMs = (model: string, version: number): number | null => {
    const newer = (this.announced.get(model) ?? []).filter((one) => one.version > version);
    return newer.length === 0 ? null : this.clock.now() - Math.min(...newer.map(({ at }) => at));
  };

  /** Within how many milliseconds a request must start on this version of the model; Infinity on the newest target. */
  readonly startWindowMs = (model: string, version: number): number => {
    const supersededForMs = this.supersededForMs(model, version);
    return supersededForMs === null ? Infinity : Math.max(0, this.versionMs * startWindowShare - supersededForMs);
  };

  /** Whether a request sent now that starts within `startMs` milliseconds still starts in time on this version. */
  readonly mayStartWithin = (model: string, version: number, startMs: number): boolean => {
    const supersededForMs = this.supersededForMs(model, version);
    return supersededForMs === null || supersededForMs + startMs <= this.versionMs * sendWindowShare;
  };

  /** The newest target of a model with the previous ones; null where none was announced. */
  readonly of = (model: string): WeightsTarget | null => {
    const now = this.clock.now();
    const [newest, ...earlier] = (this.announced.get(model) ?? [])
      .map(({ version, at }) => ({ version, sinceMs: now - at }))
      .reverse();
    return newest === undefined ? null : { ...newest, earlier };
  };
}
