/** Evicts entries of the prefix index that response times contradict, here and at the other edges. */
import type { CacheMissReport, Log, MetricCounters } from '@martenworks/core-types';
import type { PrefixCacheIndex } from './prefixCacheIndex.js';
import type { ResponseTiming, Decision, StaleEntryDetector } from './staleEntryDetector.js';

/** Dependencies of the eviction. `report` sends a report to the control plane, which relays it to the other edges. */
export interface StaleEntryEvictionOptions {
  readonly isEnabled: boolean;
  readonly detector: StaleEntryDetector;
  readonly prefixCaches: PrefixCacheIndex;
  readonly metrics: MetricCounters;
  readonly log: Log;
  readonly report: (report: CacheMissReport) => void;
}

const reportOf = ({ expectedHit: { address, salt, parts } }: ResponseTiming, decision: Decision): CacheMissReport => ({
  address,
  salt,
  parts,
  isDecided: decision.kind === 'evict',
  quarantineMs: decision.kind === 'evict' ? decision.quarantineMs : null,
});

/** Applies the decisions of the stale entry detector; does nothing if it is disabled. */
export class StaleEntryEviction {
  constructor(private readonly options: StaleEntryEvictionOptions) {}

  /** Checks the time to a response's first chunk, in milliseconds; returns true if it contradicts the index. */
  readonly checkExpectedHit = (timing: ResponseTiming, elapsedMs: number): boolean => {
    const { isEnabled, detector, metrics, report } = this.options;
    if (!isEnabled) return false;
    const decision = detector.recordTiming(timing, elapsedMs);
    if (decision.kind === 'none') return false;
    metrics.add(timing.expectedHit.pullMs === null ? 'stale_strikes' : 'stale_pull_strikes');
    const update = reportOf(timing, decision);
    report(update);
    if (decision.kind === 'strike') return true;
    metrics.add(decision.quarantineMs === null ? 'stale_drops' : 'stale_bars');
    this.logEviction(timing, update, elapsedMs);
    this.evict(update);
    return true;
  };

  /** Applies the report of another edge. */
  readonly applyReport = (report: CacheMissReport): void => {
    const { isEnabled, detector, metrics } = this.options;
    if (!isEnabled) return;
    detector.recordReport(report);
    if (!report.isDecided) return;
    metrics.add('stale_told');
    this.evict(report);
  };

  private readonly logEviction = (
    { expectedHit: { address, salt, parts, tokens, pullMs } }: ResponseTiming,
    { quarantineMs }: CacheMissReport,
    elapsedMs: number,
  ): void =>
    this.options.log.info('dropped stale prefix cache entries', {
      address,
      salt,
      parts,
      tokens,
      isPull: pullMs !== null,
      spentMs: Math.round(elapsedMs),
      quarantineMs,
    });

  private readonly evict = ({ address, salt, parts, quarantineMs }: CacheMissReport): void => {
    const { prefixCaches } = this.options;
    for (const part of parts) {
      prefixCaches.remove(address, salt, part);
      if (quarantineMs !== null) prefixCaches.quarantine(address, salt, part, quarantineMs);
    }
  };
}
