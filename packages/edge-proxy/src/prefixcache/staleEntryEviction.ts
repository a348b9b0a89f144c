/** Evicts entries of the prefix index that answers speak against, here and at the other edges. */
import type { CacheMissReport, Log, MetricCounters } from '@martenworks/core-types';
import type { PrefixCacheIndex } from './prefixCacheIndex.js';
import type { ResponseTiming, Decision, StaleEntryDetector } from './staleEntryDetector.js';

/** What eviction works on; `report` sends a report to the control plane, which passes it on to the other edges. */
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
  isDecided: decision.kind === 'drop',
  quarantineMs: decision.kind === 'drop' ? decision.quarantineMs : null,
});

/** Applies the decisions of the stale entry detector. Does nothing where it is switched off. */
export class StaleEntryEviction {
  constructor(private readonly options: StaleEntryEvictionOptions) {}

  /** Takes the time to an answer's first piece, in milliseconds; true where it speaks against the index. */
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

  /** Takes what another edge reports. */
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
