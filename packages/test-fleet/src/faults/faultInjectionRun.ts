import { keyOf, plans } from '../workload/sampleDeployments.js';
import { Judge } from '../invariants/invariantChecker.js';
import type { Call, Told } from '../invariants/invariantChecker.js';
import { SimFleet } from '../simulator/simFleet.js';
import { statePlaints } from '../invariants/stateInvariants.js';
import { bringFinal } from './permanentLosses.js';
import { caches } from './cacheFaults.js';
import { clients } from './tenantChanges.js';
import { clocks } from './clockFaults.js';
import { confirmations } from './crashesAfterAcknowledgement.js';
import { cuts } from './networkPartitions.js';
import { disks } from './diskFaults.js';
import { FaultContext } from './faultContext.js';
import { freezes } from './processPauses.js';
import { kills } from './crashes.js';
import { members } from './memberReplacements.js';
import { operators } from './configurationChanges.js';
import { replies } from './responseFaults.js';
import { stops } from './gracefulShutdowns.js';
import type { Injections } from './faultContext.js';
import { faultKinds, finalKinds, stormLayout } from './faultSchedule.js';
import type { FaultKind, FinalKind, StormPlan } from './faultSchedule.js';

export interface StormReport {
  readonly seed: number;
  readonly digest: number;
  readonly brought: Record<string, number>;
  readonly complaints: Told[];
  readonly tally: Record<string, number>;
  readonly calls: number;
  readonly final: FinalKind;
  readonly spans: readonly Span[];
  readonly shares: readonly Share[];
}

interface Span {
  readonly kind: FaultKind;
  readonly from: number;
  readonly to: number;
  readonly recoveryMs: number | null;
}

export interface Share {
  readonly tier: string;
  readonly during: readonly [whole: number, all: number];
  readonly after: readonly [whole: number, all: number];
}

const settleMs = 12_000;
const serviceShare = 0.9;
const serviceWindowMs = 1_000;

const injectionsOf = (context: FaultContext): Required<Injections> => ({
  ...caches(context),
  ...clients(context),
  ...clocks(context),
  ...confirmations(context),
  ...cuts(context),
  ...disks(context),
  ...freezes(context),
  ...kills(context),
  ...members(context),
  ...operators(context),
  ...replies(context),
  ...stops(context),
});

export class Storm {
  readonly fleet: SimFleet;
  readonly judge: Judge;
  readonly brought: Record<string, number> = {};
  private readonly open = new Set<Promise<void>>();
  private readonly context: FaultContext;
  private readonly injections: Required<Injections>;
  private readonly spans: { kind: FaultKind; from: number; to: number }[] = [];

  constructor(private readonly plan: StormPlan) {
    this.fleet = new SimFleet({
      seed: plan.seed,
      fronts: plan.fronts ?? 4,
      replicas: plan.replicas ?? 6,
      hasStore: true,
      layout: stormLayout(plan.seed),
      tenants: [...plans.tenantNames, plans.prober],
      ...plan.breakage,
    });
    this.judge = new Judge(this.fleet);
    this.context = new FaultContext(this.fleet, this.judge);
    this.injections = injectionsOf(this.context);
  }

  readonly run = async (): Promise<StormReport> => {
    const { fleet, judge, plan } = this;
    const { world } = fleet;
    await fleet.up();
    for (const tenant of [...plans.tenantNames, plans.prober]) judge.grant(keyOf(tenant), tenant);
    const spanMs = plan.spanMs ?? 20_000;
    const kinds = plan.kinds ?? faultKinds;
    const count = plan.faults ?? 6;
    const final = plan.final ?? (finalKinds[this.context.pick(finalKinds.length)] as FinalKind);
    judge.traffic(plan.ratePerSecond ?? 25, spanMs + settleMs + 3_000, plan.longShare ?? 0.1, true);
    judge.keyedTraffic(4, spanMs + settleMs);
    for (let at = 0; at < count; at += 1) {
      const kind = kinds[this.context.pick(kinds.length)] as FaultKind;
      world.plan(null, this.context.span(500, spanMs * 0.7), () => this.bring(kind));
    }
    await world.run(spanMs);
    await world.until('the faults to pass', () => this.open.size === 0, 90_000);
    world.healAll();
    await fleet.finish(bringFinal(this.context, final), 60_000);
    const healedAt = world.time;
    await world.run(settleMs);
    const probesFrom = world.time;
    judge.traffic(20, 2_000);
    await world.run(45_000);
    const complaints = [
      ...judge.complaints(),
      ...statePlaints(this.fleet, this.judge),
      ...this.context.late,
      ...this.recoveryPlaints(healedAt, probesFrom),
    ];
    const spans = this.spans.map((span) => ({ ...span, recoveryMs: this.recoveryOf(span.to) }));
    return {
      seed: plan.seed,
      digest: world.digest,
      brought: this.brought,
      complaints,
      tally: judge.tally(),
      calls: judge.calls.length,
      final,
      spans,
      shares: this.shares(),
    };
  };

  private readonly isServed = (call: Call): boolean => call.verdict === 'whole';

  private readonly counted = (): Call[] =>
    this.judge.calls.filter(
      (call) =>
        call.idempotencyKey === null &&
        call.ask.key === keyOf(call.ask.tenant) &&
        call.ask.tenant !== plans.prober &&
        !call.isLeft,
    );

  private readonly recoveryOf = (to: number): number | null => {
    const calls = this.counted();
    for (let at = to; at < to + settleMs; at += 100) {
      const some = calls.filter((call) => call.sentAt >= at && call.sentAt < at + serviceWindowMs);
      if (some.length > 0 && some.filter(this.isServed).length >= some.length * serviceShare) return at - to;
    }
    return null;
  };

  private readonly shares = (): Share[] => {
    const calls = this.counted();
    const isDuring = (call: Call): boolean =>
      this.spans.some(({ from, to }) => call.sentAt >= from && call.sentAt <= to);
    const isAfter = (call: Call): boolean => !isDuring(call) && this.spans.some(({ to }) => call.sentAt > to);
    return Object.keys(plans.tiers).flatMap((tier) => {
      const some = calls.filter((call) => call.ask.tier === tier);
      const count = (is: (call: Call) => boolean): [number, number] => [
        some.filter((call) => is(call) && this.isServed(call)).length,
        some.filter(is).length,
      ];
      return some.length === 0 ? [] : [{ tier, during: count(isDuring), after: count(isAfter) }];
    });
  };

  private readonly recoveryPlaints = (healedAt: number, probesFrom: number): Told[] => {
    const probes = this.judge.calls.filter((call) => call.sentAt >= probesFrom && call.sentAt < probesFrom + 2_000);
    const whole = probes.filter((call) => call.verdict === 'whole').length;
    const told: Told[] =
      whole < probes.length * 0.8
        ? [
            {
              rule: 'service still mostly absent',
              detail: `${whole} of ${probes.length} whole ${Math.round(probesFrom - healedAt)} ms after healing`,
            },
          ]
        : [];
    for (const call of this.judge.calls)
      if (call.verdict === 'open') told.push({ rule: 'a call never ended', detail: call.requestId });
    const generations = new Set(this.judge.living().map((at) => this.fleet.counters[at]?.book.generation()));
    if (generations.size !== 1)
      told.push({
        rule: 'an accepted change is not in force',
        detail: `counters hold generations ${[...generations].join(', ')}`,
      });
    return told;
  };

  private readonly bring = (kind: FaultKind): void => {
    const work = this.injections[kind]();
    if (work === null) return;
    this.brought[kind] = (this.brought[kind] ?? 0) + 1;
    const from = this.fleet.world.time;
    const tracked = work.finally(() => {
      this.spans.push({ kind, from, to: this.fleet.world.time });
      this.open.delete(tracked);
    });
    this.open.add(tracked);
  };
}
