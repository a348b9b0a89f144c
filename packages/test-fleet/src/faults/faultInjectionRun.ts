import { keyOf, sampleWorkload } from '../workload/sampleDeployments.js';
import { InvariantChecker } from '../invariants/invariantChecker.js';
import type { Violation } from '../invariants/violation.js';
import type { Call } from '../workload/callSender.js';
import { SimFleet } from '../simulator/simFleet.js';
import { stateViolations } from '../invariants/stateInvariants.js';
import { injectPermanentLoss } from './permanentLosses.js';
import { cacheFaults } from './cacheFaults.js';
import { tenantChanges } from './tenantChanges.js';
import { clockFaults } from './clockFaults.js';
import { crashesAfterAcknowledgement } from './crashesAfterAcknowledgement.js';
import { networkPartitions } from './networkPartitions.js';
import { diskFaults } from './diskFaults.js';
import { FaultContext } from './faultContext.js';
import { processPauses } from './processPauses.js';
import { crashes } from './crashes.js';
import { memberReplacements } from './memberReplacements.js';
import { configurationChanges } from './configurationChanges.js';
import { responseFaults } from './responseFaults.js';
import { gracefulShutdowns } from './gracefulShutdowns.js';
import type { Injections } from './faultContext.js';
import { faultKinds, permanentLossKinds, initialLayout } from './faultSchedule.js';
import type { FaultKind, PermanentLossKind, FaultSchedule } from './faultSchedule.js';

export interface FaultInjectionReport {
  readonly seed: number;
  readonly digest: number;
  readonly injected: Record<string, number>;
  readonly violations: Violation[];
  readonly tally: Record<string, number>;
  readonly calls: number;
  readonly permanentLoss: PermanentLossKind;
  readonly intervals: readonly FaultInterval[];
  readonly shares: readonly ServedShare[];
}

interface FaultInterval {
  readonly kind: FaultKind;
  readonly from: number;
  readonly to: number;
  readonly recoveryMs: number | null;
}

export interface ServedShare {
  readonly tier: string;
  readonly during: readonly [whole: number, all: number];
  readonly after: readonly [whole: number, all: number];
}

const settleMs = 12_000;
const serviceShare = 0.9;
const serviceWindowMs = 1_000;

const injectionsOf = (context: FaultContext): Required<Injections> => ({
  ...cacheFaults(context),
  ...tenantChanges(context),
  ...clockFaults(context),
  ...crashesAfterAcknowledgement(context),
  ...networkPartitions(context),
  ...diskFaults(context),
  ...processPauses(context),
  ...crashes(context),
  ...memberReplacements(context),
  ...configurationChanges(context),
  ...responseFaults(context),
  ...gracefulShutdowns(context),
});

export class FaultInjectionRun {
  readonly fleet: SimFleet;
  readonly checker: InvariantChecker;
  readonly injected: Record<string, number> = {};
  private readonly activeFaults = new Set<Promise<void>>();
  private readonly context: FaultContext;
  private readonly injections: Required<Injections>;
  private readonly intervals: { kind: FaultKind; from: number; to: number }[] = [];

  constructor(private readonly schedule: FaultSchedule) {
    this.fleet = new SimFleet({
      seed: schedule.seed,
      fronts: schedule.fronts ?? 4,
      replicas: schedule.replicas ?? 6,
      hasStore: true,
      layout: initialLayout(schedule.seed),
      tenants: [...sampleWorkload.tenantNames, sampleWorkload.prober],
      ...schedule.overrides,
    });
    this.checker = new InvariantChecker(this.fleet);
    this.context = new FaultContext(this.fleet, this.checker);
    this.injections = injectionsOf(this.context);
  }

  readonly run = async (): Promise<FaultInjectionReport> => {
    const { fleet, checker, schedule } = this;
    const { world } = fleet;
    await fleet.up();
    for (const tenant of [...sampleWorkload.tenantNames, sampleWorkload.prober]) checker.grant(keyOf(tenant), tenant);
    const spanMs = schedule.spanMs ?? 20_000;
    const kinds = schedule.kinds ?? faultKinds;
    const count = schedule.faults ?? 6;
    const permanentLoss =
      schedule.permanentLoss ?? (permanentLossKinds[this.context.pick(permanentLossKinds.length)] as PermanentLossKind);
    checker.traffic(schedule.ratePerSecond ?? 25, spanMs + settleMs + 3_000, schedule.longShare ?? 0.1, true);
    checker.keyedTraffic(4, spanMs + settleMs);
    for (let at = 0; at < count; at += 1) {
      const kind = kinds[this.context.pick(kinds.length)] as FaultKind;
      world.schedule(null, this.context.randomBetween(500, spanMs * 0.7), () => this.inject(kind));
    }
    await world.run(spanMs);
    await world.until('the faults to pass', () => this.activeFaults.size === 0, 90_000);
    world.healAll();
    await fleet.finish(injectPermanentLoss(this.context, permanentLoss), 60_000);
    const healedAt = world.time;
    await world.run(settleMs);
    const probesStartedAt = world.time;
    checker.traffic(20, 2_000);
    await world.run(45_000);
    const violations = [
      ...checker.violations(),
      ...stateViolations(this.fleet, this.checker),
      ...this.context.violations,
      ...this.recoveryViolations(healedAt, probesStartedAt),
    ];
    const intervals = this.intervals.map((span) => ({ ...span, recoveryMs: this.recoveryTime(span.to) }));
    return {
      seed: schedule.seed,
      digest: world.digest,
      injected: this.injected,
      violations,
      tally: checker.tally(),
      calls: checker.calls.length,
      permanentLoss,
      intervals,
      shares: this.shares(),
    };
  };

  private readonly isServed = (call: Call): boolean => call.outcome === 'whole';

  private readonly counted = (): Call[] =>
    this.checker.calls.filter(
      (call) =>
        call.idempotencyKey === null &&
        call.request.key === keyOf(call.request.tenant) &&
        call.request.tenant !== sampleWorkload.prober &&
        !call.isAborted,
    );

  private readonly recoveryTime = (to: number): number | null => {
    const calls = this.counted();
    for (let at = to; at < to + settleMs; at += 100) {
      const some = calls.filter((call) => call.sentAt >= at && call.sentAt < at + serviceWindowMs);
      if (some.length > 0 && some.filter(this.isServed).length >= some.length * serviceShare) return at - to;
    }
    return null;
  };

  private readonly shares = (): ServedShare[] => {
    const calls = this.counted();
    const isDuring = (call: Call): boolean =>
      this.intervals.some(({ from, to }) => call.sentAt >= from && call.sentAt <= to);
    const isAfter = (call: Call): boolean => !isDuring(call) && this.intervals.some(({ to }) => call.sentAt > to);
    return Object.keys(sampleWorkload.tiers).flatMap((tier) => {
      const some = calls.filter((call) => call.request.tier === tier);
      const count = (is: (call: Call) => boolean): [number, number] => [
        some.filter((call) => is(call) && this.isServed(call)).length,
        some.filter(is).length,
      ];
      return some.length === 0 ? [] : [{ tier, during: count(isDuring), after: count(isAfter) }];
    });
  };

  private readonly recoveryViolations = (healedAt: number, probesStartedAt: number): Violation[] => {
    const probes = this.checker.calls.filter(
      (call) => call.sentAt >= probesStartedAt && call.sentAt < probesStartedAt + 2_000,
    );
    const whole = probes.filter((call) => call.outcome === 'whole').length;
    const violations: Violation[] =
      whole < probes.length * 0.8
        ? [
            {
              rule: 'service still mostly absent',
              detail: `${whole} of ${probes.length} whole ${Math.round(probesStartedAt - healedAt)} ms after healing`,
            },
          ]
        : [];
    for (const call of this.checker.calls)
      if (call.outcome === 'open') violations.push({ rule: 'a call never ended', detail: call.requestId });
    const generations = new Set(this.checker.liveGateways().map((at) => this.fleet.counters[at]?.book.generation()));
    if (generations.size !== 1)
      violations.push({
        rule: 'an accepted change is not in force',
        detail: `counters hold generations ${[...generations].join(', ')}`,
      });
    return violations;
  };

  private readonly inject = (kind: FaultKind): void => {
    const work = this.injections[kind]();
    if (work === null) return;
    this.injected[kind] = (this.injected[kind] ?? 0) + 1;
    const from = this.fleet.world.time;
    const tracked = work.finally(() => {
      this.intervals.push({ kind, from, to: this.fleet.world.time });
      this.activeFaults.delete(tracked);
    });
    this.activeFaults.add(tracked);
  };
}
