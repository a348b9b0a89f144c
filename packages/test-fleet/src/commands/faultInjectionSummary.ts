/** Aggregates fault-injection runs and prints a summary. */
import type { FaultInjectionReport } from '../faults/faultInjectionRun.js';
import type { FaultSchedule } from '../faults/faultSchedule.js';
import type { Violation } from '../invariants/violation.js';
import { quantile } from '../workload/quantile.js';

const violationsPrinted = 5;
const kindWidth = 40;
const tierWidth = 8;

/** The result of one run; `report` is null if the run ended with an error. */
export interface RunResult {
  readonly schedule: FaultSchedule;
  readonly report: FaultInjectionReport | null;
  readonly injected: Record<string, number>;
  /** The error that ended the run, or empty. */
  readonly error: string;
  /** The log, if an invariant was violated or the run ended with an error. */
  readonly logLines: readonly string[];
}

type Counts = Record<string, number>;

/** Complete and total calls of a tier, during the faults and after them. */
interface TierTotals {
  duringComplete: number;
  duringAll: number;
  afterComplete: number;
  afterAll: number;
}

const count = (counts: Counts, name: string, by = 1): void => {
  counts[name] = (counts[name] ?? 0) + by;
};

const print = (text: string): void => void process.stdout.write(`${text}\n`);

/** Prints failing runs as they are added and the totals at the end. */
export class FaultInjectionSummary {
  private readonly seeds: readonly number[];
  private readonly total: number;
  private readonly injected: Counts = {};
  private readonly rules: Counts = {};
  private readonly losses: Counts = {};
  private readonly recoveries = new Map<string, (number | null)[]>();
  private readonly tiers = new Map<string, TierTotals>();
  private failing = 0;
  private calls = 0;

  constructor(
    schedules: readonly FaultSchedule[],
    private readonly size: string,
    private readonly isVerbose: boolean,
  ) {
    this.seeds = schedules.map(({ seed }) => seed);
    this.total = schedules.length;
  }

  /** Adds one run, and prints it if it failed. */
  readonly add = (result: RunResult): void => {
    for (const [kind, times] of Object.entries(result.injected)) count(this.injected, kind, times);
    if (result.report === null) count(this.rules, 'the run ended with an error');
    else this.addReport(result.report);
    if (result.report !== null && result.report.violations.length === 0) return;
    this.failing += 1;
    this.printFailure(result);
  };

  /** Whether any run ended with an error or violated an invariant. */
  readonly hasFailures = (): boolean => this.failing > 0;

  private readonly addReport = (report: FaultInjectionReport): void => {
    this.calls += report.calls;
    count(this.losses, report.permanentLoss);
    for (const { rule } of report.violations) count(this.rules, rule);
    for (const { kind, recoveryMs } of report.intervals)
      this.recoveries.set(kind, [...(this.recoveries.get(kind) ?? []), recoveryMs]);
    for (const { tier, during, after } of report.shares) {
      const totals = this.tiers.get(tier) ?? { duringComplete: 0, duringAll: 0, afterComplete: 0, afterAll: 0 };
      this.tiers.set(tier, {
        duringComplete: totals.duringComplete + during[0],
        duringAll: totals.duringAll + during[1],
        afterComplete: totals.afterComplete + after[0],
        afterAll: totals.afterAll + after[1],
      });
    }
  };

  private readonly printFailure = ({ schedule, report, injected, error, logLines }: RunResult): void => {
    const what = report === null ? error : `${report.permanentLoss} ${JSON.stringify(report.outcomeCounts)}`;
    print(`seed ${schedule.seed}: ${JSON.stringify(injected)} ${what}`);
    const violations: readonly Violation[] = report?.violations ?? [];
    for (const { rule, detail } of violations.slice(0, violationsPrinted)) print(`  ${rule}: ${detail}`);
    if (this.isVerbose) print(logLines.join('\n'));
  };

  /** Prints the totals of all runs. */
  readonly print = (): void => {
    const span = `${Math.min(...this.seeds)}..${Math.max(...this.seeds)}`;
    print(`seeds ${span}, ${this.size}: ${this.total} runs, ${this.calls} calls, ${this.failing} failing`);
    print(`injected faults: ${JSON.stringify(this.injected)}`);
    print(`permanent losses: ${JSON.stringify(this.losses)}`);
    print(`violations: ${JSON.stringify(this.rules)}`);
    for (const [kind, times] of [...this.recoveries].sort()) this.printRecovery(kind, times);
    for (const [tier, { duringComplete, duringAll, afterComplete, afterAll }] of this.tiers)
      print(
        `  tier ${tier.padEnd(tierWidth)} complete during faults ${duringComplete} of ${duringAll}, after ${afterComplete} of ${afterAll}`,
      );
  };

  private readonly printRecovery = (kind: string, all: readonly (number | null)[]): void => {
    const times = all.filter((time) => time !== null).sort((a, b) => a - b);
    const [p50, p95] = [quantile(times, 0.5), quantile(times, 0.95)].map(Math.round);
    print(
      `  ${kind.padEnd(kindWidth)} n=${all.length} recovered after p50=${p50} p95=${p95} max=${times.at(-1) ?? '-'} ms, not within 12 s: ${all.length - times.length}`,
    );
  };
}
