import { plans, keyOf } from '../firms.js';
import { Judge } from './judge.js';
import type { Call, Grant, Told } from './judge.js';
import { SimFleet } from './simFleet.js';
import { statePlaints } from './statePlaints.js';
import type { SimPlan } from './simFleet.js';

export const faultKinds = [
  'replica crashes',
  'replica vanishes',
  'replica leaves',
  'replica errs',
  'replica cuts streams',
  'replica omits the end',
  'whole pool errs',
  'whole pool dies',
  'all machines die',
  'a zone is lost',
  'links between replicas slow',
  'replica claims other weights',
  'replica freezes',
  'counter dies',
  'counters die in a herd',
  'counter freezes',
  'counter is isolated',
  'counter hears a minority',
  'postmaster dies',
  'postmasters die in a herd',
  'postmaster loses its disk',
  'postmaster freezes',
  'postmaster is isolated',
  'postmasters are cut apart',
  'one-way cut',
  'disk stalls',
  'disk is full',
  'disk fails to sync',
  'clock jumps',
  'layout changes',
  'rival changes',
  'many lanes',
  'new weights',
  'key is revoked',
  'kv news is late',
  'kv news is lost',
  'disk is slow',
  'postmaster dies having confirmed',
  'postmaster returns empty elsewhere',
  'postmaster is swapped for a stranger',
  'replicas are replaced in turn',
  'replica is cut from some counters',
  'cache store is lost',
  'new client with a new tenant',
  'counter is told to stop',
  'postmaster is told to stop',
  'clock jumps over a freeze',
  'layout is probed',
] as const;

export const finalKinds = ['counter lost for good', 'front of a zone lost for good', 'postmaster lost for good', 'replica lost for good', 'replica silent for good', 'none'] as const;
export type FinalKind = (typeof finalKinds)[number];
export type FaultKind = (typeof faultKinds)[number];

export interface StormPlan {
  readonly seed: number;
  readonly kinds?: readonly FaultKind[];
  readonly faults?: number;
  readonly ratePerSecond?: number;
  readonly spanMs?: number;
  readonly fronts?: number;
  readonly replicas?: number;
  readonly longShare?: number;
  readonly final?: FinalKind;
  readonly breakage?: Partial<SimPlan>;
}

export const sizes = {
  small: {},
  stations: { fronts: 9, replicas: 13, ratePerSecond: 190, longShare: 0.06 },
  sawmill: { fronts: 9, replicas: 8, ratePerSecond: 180, longShare: 0.06 },
} as const satisfies Record<string, Partial<StormPlan>>;

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

export interface Span {
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

interface Quirk {
  readonly busy: Set<string>;
  weights: number;
  changes: number;
  probes: number;
  probedLane: string;
  moves: number;
}

const isolationEvery = 3;

export const stormLayout = (seed: number): Record<string, unknown> => {
  const layout = plans.layout('weights-1');
  const tenants = layout['tenants'] as Record<string, Record<string, unknown>>;
  const isApart = seed % isolationEvery !== 0;
  return {
    ...layout,
    pools: { main: { weights: 'weights-1', slots: 8, store: 'store-1' }, app: { weights: 'app-1', slots: 32 } },
    tenants: {
      ...Object.fromEntries(Object.entries(tenants).map(([name, tenant]) => [name, { ...tenant, isolated: isApart && tenant['isolated'] === true }])),
      [plans.prober]: { tier: 'patient', lanes: ['query'] },
    },
  };
};

const settleMs = 12_000;
const serviceShare = 0.9;
const serviceWindowMs = 1_000;
const inForceMs = 2_000;

export class Storm {
  readonly fleet: SimFleet;
  readonly judge: Judge;
  readonly brought: Record<string, number> = {};
  private readonly state: Quirk = { busy: new Set(), weights: 1, changes: 0, probes: 0, probedLane: 'query', moves: 0 };
  private readonly open = new Set<Promise<void>>();
  private readonly late: Told[] = [];
  private readonly spans: { kind: FaultKind; from: number; to: number }[] = [];

  constructor(private readonly plan: StormPlan) {
    this.fleet = new SimFleet({ seed: plan.seed, fronts: plan.fronts ?? 4, replicas: plan.replicas ?? 6, hasStore: true, layout: stormLayout(plan.seed), tenants: [...plans.tenantNames, plans.prober], ...plan.breakage });
    this.judge = new Judge(this.fleet);
  }

  private readonly random = (): number => this.fleet.world.random();
  private readonly pick = (count: number): number => Math.floor(this.random() * count);
  private readonly wait = (delayMs: number): Promise<void> => new Promise((wake) => void this.fleet.world.plan(null, delayMs, wake));
  private readonly span = (low: number, high: number): number => low + this.random() * (high - low);

  private readonly claim = (what: string): boolean => {
    if (this.state.busy.has(what)) return false;
    this.state.busy.add(what);
    return true;
  };
  private readonly free = (what: string): void => void this.state.busy.delete(what);

  readonly run = async (): Promise<StormReport> => {
    const { fleet, judge, plan } = this;
    const { world } = fleet;
    await fleet.up();
    for (const tenant of [...plans.tenantNames, plans.prober]) judge.grant(keyOf(tenant), tenant);
    const spanMs = plan.spanMs ?? 20_000;
    const kinds = plan.kinds ?? faultKinds;
    const count = plan.faults ?? 6;
    const final = plan.final ?? (finalKinds[this.pick(finalKinds.length)] as FinalKind);
    judge.traffic(plan.ratePerSecond ?? 25, spanMs + settleMs + 3_000, plan.longShare ?? 0.1, true);
    judge.keyedTraffic(4, spanMs + settleMs);
    for (let at = 0; at < count; at += 1) {
      const kind = kinds[this.pick(kinds.length)] as FaultKind;
      world.plan(null, this.span(500, spanMs * 0.7), () => this.bring(kind));
    }
    await world.run(spanMs);
    await world.until('the faults to pass', () => this.open.size === 0, 90_000);
    world.healAll();
    await fleet.finish(this.bringFinal(final), 60_000);
    const healedAt = world.time;
    await world.run(settleMs);
    const probesFrom = world.time;
    judge.traffic(20, 2_000);
    await world.run(45_000);
    const complaints = [...judge.complaints(), ...statePlaints(this.fleet, this.judge), ...this.late, ...this.recoveryPlaints(healedAt, probesFrom)];
    const spans = this.spans.map((span) => ({ ...span, recoveryMs: this.recoveryOf(span.to) }));
    return { seed: plan.seed, digest: world.digest, brought: this.brought, complaints, tally: judge.tally(), calls: judge.calls.length, final, spans, shares: this.shares() };
  };

  private readonly isServed = (call: Call): boolean => call.verdict === 'whole';

  private readonly counted = (): Call[] => this.judge.calls.filter((call) => call.idempotencyKey === null && call.ask.key === keyOf(call.ask.tenant) && call.ask.tenant !== plans.prober && !call.isLeft);

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
    const isDuring = (call: Call): boolean => this.spans.some(({ from, to }) => call.sentAt >= from && call.sentAt <= to);
    const isAfter = (call: Call): boolean => !isDuring(call) && this.spans.some(({ to }) => call.sentAt > to);
    return Object.keys(plans.tiers).flatMap((tier) => {
      const some = calls.filter((call) => call.ask.tier === tier);
      const count = (is: (call: Call) => boolean): [number, number] => [some.filter((call) => is(call) && this.isServed(call)).length, some.filter(is).length];
      return some.length === 0 ? [] : [{ tier, during: count(isDuring), after: count(isAfter) }];
    });
  };

  private readonly bringFinal = async (final: FinalKind): Promise<void> => {
    const { fleet, judge } = this;
    switch (final) {
      case 'counter lost for good':
      case 'front of a zone lost for good': {
        const at = this.pick(fleet.plan.fronts);
        const lost = final === 'counter lost for good' ? [at] : fleet.counterHosts.map((_, one) => one).filter((one) => one % 3 === at % 3);
        for (const one of lost) {
          fleet.killCounter(one);
          judge.gone.add(one);
        }
        return;
      }
      case 'postmaster lost for good':
        return fleet.killPostmaster(this.pick(3), this.random() < 0.5);
      case 'replica lost for good':
      case 'replica silent for good': {
        const name = fleet.replicaName(this.pick(fleet.plan.replicas));
        fleet.world.machine(fleet.hostOfReplica(name)).vanish();
        if (final === 'replica lost for good') await this.tellUntilTaken((at) => fleet.onPostmaster(at, 'DELETE', `/platform/replicas/${name}`));
        return;
      }
      case 'none':
        return;
    }
  };

  private readonly recoveryPlaints = (healedAt: number, probesFrom: number): Told[] => {
    const probes = this.judge.calls.filter((call) => call.sentAt >= probesFrom && call.sentAt < probesFrom + 2_000);
    const whole = probes.filter((call) => call.verdict === 'whole').length;
    const told: Told[] = whole < probes.length * 0.8 ? [{ rule: 'service still mostly absent', detail: `${whole} of ${probes.length} whole ${Math.round(probesFrom - healedAt)} ms after healing` }] : [];
    for (const call of this.judge.calls) if (call.verdict === 'open') told.push({ rule: 'a call never ended', detail: call.requestId });
    const generations = new Set(this.judge.living().map((at) => this.fleet.counters[at]?.book.generation()));
    if (generations.size !== 1) told.push({ rule: 'an accepted change is not in force', detail: `counters hold generations ${[...generations].join(', ')}` });
    return told;
  };

  private readonly bring = (kind: FaultKind): void => {
    const work = this.begin(kind);
    if (work === null) return;
    this.brought[kind] = (this.brought[kind] ?? 0) + 1;
    const from = this.fleet.world.time;
    const tracked = work.finally(() => {
      this.spans.push({ kind, from, to: this.fleet.world.time });
      this.open.delete(tracked);
    });
    this.open.add(tracked);
  };

  private readonly onReplica = (work: (name: string) => Promise<void>): Promise<void> | null => {
    const names = [...this.fleet.replicaHosts.map((_, at) => this.fleet.replicaName(at)), 'app-1'];
    const name = names[this.pick(names.length)] as string;
    if (!this.claim(name)) return null;
    return work(name).finally(() => this.free(name));
  };

  private readonly onCounter = (work: (at: number) => Promise<void>): Promise<void> | null => {
    const at = this.pick(this.fleet.plan.fronts);
    if (!this.claim(`counter ${at}`)) return null;
    return work(at).finally(() => this.free(`counter ${at}`));
  };

  private readonly onPostmaster = (work: (at: number) => Promise<void>, needsCalm = false): Promise<void> | null => {
    const at = this.pick(3);
    if (needsCalm) {
      if ([0, 1, 2].some((one) => this.state.busy.has(`postmaster ${one}`))) return null;
      for (const one of [0, 1, 2]) this.claim(`postmaster ${one}`);
      return work(at).finally(() => [0, 1, 2].forEach((one) => this.free(`postmaster ${one}`)));
    }
    if (!this.claim(`postmaster ${at}`)) return null;
    return work(at).finally(() => this.free(`postmaster ${at}`));
  };

  private readonly tellUntilTaken = async (tell: (at: number) => Promise<{ status: number }>): Promise<void> => {
    for (let shot = 0; shot < 200; shot += 1) {
      const told = await tell(this.pick(3));
      if (told.status === 200) return;
      await this.wait(200);
    }
    throw new Error('the platform was never heard');
  };

  private readonly comeBack = async (name: string): Promise<void> => {
    this.fleet.bootReplica(name);
    await this.tellUntilTaken((at) => this.fleet.announce(name, at));
  };

  private readonly layoutOf = async (): Promise<{ at: number; base: number }> => {
    for (;;) {
      const at = this.pick(3);
      const held = await this.fleet.onPostmaster(at, 'GET', '/operator/layout');
      if (held.status === 200) return { at, base: Number(held.body['generation']) };
      await this.wait(200);
    }
  };

  private readonly change = async (part: Record<string, unknown>, at: number, base: number): Promise<boolean> => {
    const id = `change-${(this.state.changes += 1)}`;
    for (let shot = 0; ; shot += 1) {
      const told = await this.fleet.onPostmaster(shot === 0 ? at : this.pick(3), 'PATCH', '/operator/layout', part, { 'if-match': `"${base}"`, 'change-id': id });
      if (told.status === 200) {
        const generation = Number(told.body['generation']);
        this.judge.acceptedIds.set(id, generation);
        this.fleet.world.plan(null, inForceMs, () => this.checkInForce(id, generation));
        return true;
      }
      if (told.status === 409 || told.status === 422) {
        this.judge.refusedIds.add(id);
        return false;
      }
      await this.wait(150);
    }
  };

  private readonly checkInForce = (id: string, generation: number): void => {
    this.fleet.counters.forEach((counter, at) => {
      if (counter === null || !counter.freshness.isFresh() || counter.book.generation() >= generation) return;
      this.late.push({ rule: 'an accepted change is not in force', detail: `${id}: counter ${at + 1} serves under ${counter.book.generation()}, not ${generation}, after ${inForceMs} ms` });
    });
  };

  private readonly grant = async (key: string, tenant: string, entry: Record<string, unknown> | null, prefix = ''): Promise<Grant> => {
    const grant = this.judge.grant(key, tenant);
    await this.tellUntilTaken((at) => this.fleet.onPostmaster(at, 'POST', '/platform/clients', { tenant, key, ...(entry === null ? {} : { grant: entry }) }, { 'change-id': `grant-${prefix}${key}` }));
    return grant;
  };

  private readonly untilVoter = async (at: number, shots: number): Promise<void> => {
    for (let shot = 0; shot < shots && this.fleet.postmasters[at]?.decrees.isVoter() !== true; shot += 1) await this.wait(100);
    if (this.fleet.postmasters[at]?.decrees.isVoter() !== true) throw new Error('the empty postmaster was never swapped in');
  };

  private readonly confirmChange = async (at: number): Promise<void> => {
    const { fleet, judge } = this;
    const held = await fleet.onPostmaster(at, 'GET', '/operator/layout');
    const id = `last-word-${(this.state.changes += 1)}`;
    const told = await fleet.onPostmaster(at, 'PATCH', '/operator/layout', { tiers: { steady: { rank: 1, horizonMs: 20_000 + this.pick(1_000) } } }, { 'if-match': `"${Number(held.body['generation'])}"`, 'change-id': id });
    if (told.status !== 200) return;
    judge.acceptedIds.set(id, Number(told.body['generation']));
    fleet.world.plan(null, inForceMs, () => this.checkInForce(id, Number(told.body['generation'])));
  };

  private readonly confirmRevocation = async (at: number): Promise<void> => {
    const { fleet, judge } = this;
    const tenant = plans.tenantNames[this.pick(plans.tenantNames.length)] as string;
    const key = `last-key-${(this.state.changes += 1)}`;
    const grant = await this.grant(key, tenant, null);
    const stopAt = fleet.world.time + 8_000;
    const ask = (): void => {
      if (fleet.world.time >= stopAt) return;
      judge.send({ ...plans.ask(this.random, judge.calls.length, 0.1), key, tenant }, judge.living()[this.pick(judge.living().length)] as number);
      fleet.world.plan(null, 100, ask);
    };
    ask();
    await this.wait(1_000);
    const told = await fleet.onPostmaster(at, 'POST', '/platform/keys/revoke', { key }, { 'change-id': `revoke-${key}` });
    if (told.status === 200) grant.to = fleet.world.time;
  };

  private readonly confirmLeaving = async (at: number): Promise<void> => {
    const { fleet, judge } = this;
    const name = fleet.replicaName(this.pick(fleet.plan.replicas));
    if (!this.claim(name)) return;
    const told = await fleet.onPostmaster(at, 'POST', `/platform/replicas/${name}/leaving`);
    if (told.status === 200) judge.leftAt.push({ name, incarnation: fleet.incarnationOf(name), at: fleet.world.time });
    void this.wait(4_500).then(async () => {
      fleet.killReplica(name);
      await this.wait(200);
      await this.comeBack(name);
      this.free(name);
    });
  };

  private readonly begin = (kind: FaultKind): Promise<void> | null => {
    const { fleet, judge } = this;
    const { world } = fleet;
    switch (kind) {
      case 'replica crashes':
        return this.onReplica(async (name) => {
          fleet.killReplica(name);
          await this.wait(this.span(200, 2_000));
          if (this.random() < 0.5) await this.tellUntilTaken((at) => fleet.onPostmaster(at, 'DELETE', `/platform/replicas/${name}`));
          await this.wait(this.span(200, 2_000));
          await this.comeBack(name);
        });
      case 'replica vanishes':
        return this.onReplica(async (name) => {
          world.machine(fleet.hostOfReplica(name)).vanish();
          fleet.current.delete(name);
          await this.wait(this.span(500, 3_000));
          await this.tellUntilTaken((at) => fleet.onPostmaster(at, 'DELETE', `/platform/replicas/${name}`));
          await this.wait(this.span(1_000, 4_000));
          await this.comeBack(name);
        });
      case 'replica leaves':
        return this.onReplica(async (name) => {
          const incarnation = fleet.incarnationOf(name);
          await this.tellUntilTaken((at) => fleet.onPostmaster(at, 'POST', `/platform/replicas/${name}/leaving`));
          judge.leftAt.push({ name, incarnation, at: world.time });
          await this.wait(this.span(3_500, 6_000));
          fleet.killReplica(name);
          await this.wait(500);
          await this.comeBack(name);
        });
      case 'replica errs':
        return this.onReplica(async (name) => {
          const standIn = fleet.current.get(name);
          if (standIn !== undefined) standIn.faults.failStatus = this.random() < 0.5 ? 500 : 503;
          await this.wait(this.span(500, 3_000));
          if (standIn !== undefined) standIn.faults.failStatus = null;
        });
      case 'replica cuts streams':
        return this.onReplica(async (name) => {
          const standIn = fleet.current.get(name);
          if (standIn !== undefined) standIn.faults.cutAfterPieces = this.pick(6);
          await this.wait(this.span(500, 3_000));
          if (standIn !== undefined) standIn.faults.cutAfterPieces = null;
        });
      case 'whole pool errs': {
        const standIns = fleet.replicaHosts.flatMap((_, at) => fleet.current.get(fleet.replicaName(at)) ?? []);
        for (const standIn of standIns) standIn.faults.failStatus = 500;
        return this.wait(this.span(1_000, 4_000)).then(() => {
          for (const standIn of standIns) standIn.faults.failStatus = null;
        });
      }
      case 'links between replicas slow':
        return this.onReplica(async (name) => {
          const standIn = fleet.current.get(name);
          if (standIn !== undefined) standIn.faults.slowPullMs = 1_500;
          await this.wait(this.span(1_000, 6_000));
          if (standIn !== undefined) standIn.faults.slowPullMs = 0;
        });
      case 'whole pool dies': {
        const names = fleet.replicaHosts.map((_, at) => fleet.replicaName(at)).filter(this.claim);
        for (const name of names) fleet.killReplica(name);
        return this.wait(this.span(500, 3_000)).then(async () => {
          for (const name of names) {
            await this.comeBack(name);
            this.free(name);
          }
        });
      }
      case 'all machines die': {
        const counterAts = fleet.counterHosts.map((_, at) => at).filter((at) => this.claim(`counter ${at}`));
        const postmasterAts = [0, 1, 2].filter((at) => this.claim(`postmaster ${at}`));
        for (const at of counterAts) fleet.killCounter(at);
        for (const at of postmasterAts) fleet.killPostmaster(at);
        return this.wait(this.span(500, 4_000)).then(async () => {
          for (const at of postmasterAts) await fleet.bootPostmaster(at);
          for (const at of counterAts) await fleet.bootCounter(at);
          for (const at of postmasterAts) this.free(`postmaster ${at}`);
          for (const at of counterAts) this.free(`counter ${at}`);
        });
      }
      case 'a zone is lost': {
        const zone = this.pick(3);
        const counterAts = fleet.counterHosts.map((_, at) => at).filter((at) => at % 3 === zone && this.claim(`counter ${at}`));
        const hasPostmaster = this.claim(`postmaster ${zone}`);
        for (const at of counterAts) fleet.killCounter(at);
        if (hasPostmaster) fleet.killPostmaster(zone);
        return this.wait(this.span(1_000, 8_000)).then(async () => {
          if (hasPostmaster) await fleet.bootPostmaster(zone);
          for (const at of counterAts) await fleet.bootCounter(at);
          if (hasPostmaster) this.free(`postmaster ${zone}`);
          for (const at of counterAts) this.free(`counter ${at}`);
        });
      }
      case 'replica omits the end':
        return this.onReplica(async (name) => {
          const standIn = fleet.current.get(name);
          if (standIn !== undefined) Object.assign(standIn.faults, { omitsEnd: true, cutAfterPieces: this.random() < 0.5 ? this.pick(6) : null });
          await this.wait(this.span(500, 3_000));
          if (standIn !== undefined) Object.assign(standIn.faults, { omitsEnd: false, cutAfterPieces: null });
        });
      case 'replica claims other weights':
        return this.onReplica(async (name) => {
          const standIn = fleet.current.get(name);
          if (standIn !== undefined) standIn.faults.claimedWeights = 'stray';
          await this.wait(this.span(500, 3_000));
          if (standIn !== undefined) standIn.faults.claimedWeights = null;
        });
      case 'replica freezes':
        return this.onReplica(async (name) => {
          const machine = world.machine(fleet.hostOfReplica(name));
          machine.freeze();
          await this.wait(this.span(500, 6_000));
          machine.thaw();
        });
      case 'counter dies':
        return this.onCounter(async (at) => {
          fleet.killCounter(at);
          await this.wait(this.span(100, 3_000));
          await fleet.bootCounter(at);
        });
      case 'counters die in a herd': {
        const some = fleet.counterHosts.map((_, at) => at).filter((at) => this.claim(`counter ${at}`));
        for (const at of some) fleet.killCounter(at);
        return this.wait(this.span(100, 3_000)).then(async () => {
          for (const at of some) {
            await fleet.bootCounter(at);
            this.free(`counter ${at}`);
          }
        });
      }
      case 'counter freezes':
        return this.onCounter(async (at) => {
          const machine = fleet.machineOf('counter', at);
          machine.freeze();
          await this.wait(this.span(500, 20_000));
          machine.thaw();
        });
      case 'counter is isolated':
        return this.onCounter(async (at) => {
          world.isolate(fleet.counterHosts[at] as string);
          await this.wait(this.span(500, 6_000));
          world.reconnect(fleet.counterHosts[at] as string);
        });
      case 'counter hears a minority':
        return this.onCounter(async (at) => {
          const host = fleet.counterHosts[at] as string;
          const heard = this.pick(3);
          const others = fleet.postmasterHosts.filter((_, index) => index !== heard);
          for (const other of others) world.cutBoth(host, other);
          await this.wait(this.span(1_000, 6_000));
          for (const other of others) {
            world.heal(host, other);
            world.heal(other, host);
          }
        });
      case 'postmaster dies':
        return this.onPostmaster(async (at) => {
          fleet.killPostmaster(at);
          await this.wait(this.span(100, 4_000));
          await fleet.bootPostmaster(at);
        });
      case 'postmasters die in a herd': {
        const some = [0, 1, 2].filter((at) => this.claim(`postmaster ${at}`));
        for (const at of some) fleet.killPostmaster(at);
        return this.wait(this.span(100, 3_000)).then(async () => {
          for (const at of some) {
            await fleet.bootPostmaster(at);
            this.free(`postmaster ${at}`);
          }
        });
      }
      case 'postmaster loses its disk':
        return this.onPostmaster(async (at) => {
          fleet.killPostmaster(at, true);
          await this.wait(this.span(100, 3_000));
          await fleet.bootPostmaster(at);
          for (let shot = 0; shot < 300 && fleet.postmasters[at]?.decrees.isVoter() !== true; shot += 1) await this.wait(100);
          if (fleet.postmasters[at]?.decrees.isVoter() !== true) throw new Error('the empty postmaster was never swapped in');
        }, true);
      case 'postmaster freezes':
        return this.onPostmaster(async (at) => {
          const machine = fleet.machineOf('postmaster', at);
          machine.freeze();
          await this.wait(this.span(500, 8_000));
          machine.thaw();
        });
      case 'postmaster is isolated':
        return this.onPostmaster(async (at) => {
          world.isolate(fleet.postmasterHosts[at] as string);
          await this.wait(this.span(500, 8_000));
          world.reconnect(fleet.postmasterHosts[at] as string);
        });
      case 'postmasters are cut apart':
        return this.onPostmaster(async () => {
          const [a, b, c] = fleet.postmasterHosts as [string, string, string];
          world.cutBoth(a, b);
          if (this.random() < 0.5) world.cutBoth(b, c);
          if (this.random() < 0.3) world.cutBoth(a, c);
          await this.wait(this.span(500, 6_000));
          for (const [one, other] of [[a, b], [b, c], [a, c]] as const) {
            world.heal(one, other);
            world.heal(other, one);
          }
        }, true);
      case 'one-way cut':
        return this.onPostmaster(async (at) => {
          const from = fleet.postmasterHosts[at] as string;
          const hosts = [...fleet.postmasterHosts, ...fleet.counterHosts].filter((host) => host !== from);
          const to = hosts[this.pick(hosts.length)] as string;
          const isOut = this.random() < 0.5;
          world.cut(isOut ? from : to, isOut ? to : from);
          await this.wait(this.span(500, 8_000));
          world.heal(isOut ? from : to, isOut ? to : from);
        });
      case 'disk stalls':
        return this.onPostmaster(async (at) => {
          const { disk } = fleet.machineOf('postmaster', at);
          disk.mood.isStalled = true;
          await this.wait(this.span(500, 5_000));
          disk.unstall();
        });
      case 'disk is full':
      case 'disk fails to sync':
        return this.onPostmaster(async (at) => {
          const { disk } = fleet.machineOf('postmaster', at);
          disk.mood[kind === 'disk is full' ? 'isFull' : 'failsSync'] = true;
          await this.wait(this.span(500, 5_000));
          disk.mood.isFull = false;
          disk.mood.failsSync = false;
        });
      case 'clock jumps': {
        const hosts = [...fleet.postmasterHosts, ...fleet.counterHosts];
        const machine = world.machine(hosts[this.pick(hosts.length)] as string);
        machine.wallJump += (this.random() < 0.5 ? -1 : 1) * this.span(2_000, 4_000_000);
        return this.wait(1);
      }
      case 'layout changes':
        return (async () => {
          const { at, base } = await this.layoutOf();
          await this.change({ tiers: { prompt: { rank: 0, horizonMs: 8_000 + this.pick(4_000) } } }, at, base);
        })();
      case 'rival changes':
        if (!this.claim('prober')) return null;
        return (async () => {
          const { base } = await this.layoutOf();
          const names = [0, 1, 2].map(() => `rival-${(this.state.probes += 1)}`);
          const wins = await Promise.all(names.map((name, at) => this.change({ tiers: { steady: { rank: 1, horizonMs: 20_000 + at } }, ...judge.probed(name, 'patient', 'freely') }, at, base)));
          if (wins.filter(Boolean).length > 1) judge.acceptedIds.set('two rivals were both accepted', -1);
          const won = names.findIndex((_, at) => wins[at]);
          if (won >= 0) this.state.probedLane = names[won] as string;
          await this.wait(inForceMs);
          names.forEach((name, at) => judge.probeAll(name, `rival ${name}`, wins[at] === true, 'patient', 'freely'));
        })().finally(() => this.free('prober'));
      case 'layout is probed':
        if (!this.claim('prober')) return null;
        return (async () => {
          const { at, base } = await this.layoutOf();
          const name = `probe-${(this.state.probes += 1)}`;
          const before = this.state.probedLane;
          const tier = Object.keys(plans.tiers)[this.pick(3)] as string;
          const repeat = this.random() < 0.5 ? 'once' : 'freely';
          const faulty = await this.change({ ...judge.probed(`${name}-faulty`, 'absent', repeat) }, at, base);
          if (faulty) judge.refusedIds.add('a faulty change was accepted');
          const isTaken = await this.change(judge.probed(name, tier, repeat), at, base);
          if (isTaken) this.state.probedLane = name;
          for (let round = 0; round < 2; round += 1) {
            await this.wait(inForceMs);
            judge.probeAll(name, `probe ${name}`, isTaken, tier, repeat);
            judge.probeAll(`${name}-faulty`, 'a faulty change', false, tier, repeat);
            if (isTaken && before.startsWith('probe-')) judge.probeAll(before, `probe ${name} took ${before} away`, false, tier, repeat);
          }
        })().finally(() => this.free('prober'));
      case 'many lanes':
        return (async () => {
          const { at, base } = await this.layoutOf();
          const from = this.pick(100_000);
          await this.change({ lanes: Object.fromEntries(Array.from({ length: 200 }, (_, index) => [`extra-${from}-${index}`, { pool: 'main', repeat: 'freely' }])) }, at, base);
        })();
      case 'new weights':
        if (!this.claim('weights')) return null;
        return (async () => {
          const { at, base } = await this.layoutOf();
          const weights = `weights-${(this.state.weights += 1)}`;
          const marker = { offeredAt: world.time, at: Number.POSITIVE_INFINITY, pool: 'main', weights };
          judge.weightsFrom.push(marker);
          const isTaken = await this.change({ pools: { main: { weights } } }, at, base);
          if (isTaken) marker.at = world.time;
          else judge.weightsFrom.splice(judge.weightsFrom.indexOf(marker), 1);
        })().finally(() => this.free('weights'));
      case 'key is revoked':
      case 'new client with a new tenant':
        return (async () => {
          const isNew = kind === 'new client with a new tenant';
          const tenant = isNew ? `newcomer-${this.pick(1_000_000)}` : (plans.tenantNames[this.pick(plans.tenantNames.length)] as string);
          const key = `brief-${this.state.changes}-${this.pick(1_000_000)}`;
          const grant = await this.grant(key, tenant, isNew ? { tier: 'steady', isolated: this.random() < 0.3, lanes: ['confirm', 'query', 'diagnose'] } : null);
          const stopAt = world.time + 16_000;
          let holder = tenant;
          const ask = (): void => {
            if (world.time >= stopAt) return;
            judge.send({ ...plans.ask(this.random, judge.calls.length, 0.3), key, tenant: holder }, judge.living()[this.pick(judge.living().length)] as number);
            world.plan(null, 150, ask);
          };
          ask();
          await this.wait(this.span(1_500, 4_000));
          if (isNew && this.random() < 0.5) return;
          await this.tellUntilTaken((one) => fleet.onPostmaster(one, 'POST', '/platform/keys/revoke', { key }, { 'change-id': `revoke-${key}` }));
          grant.to = world.time;
          await this.wait(this.span(500, 4_000));
          if (this.random() < 0.5) {
            holder = plans.tenantNames[this.pick(plans.tenantNames.length)] as string;
            await this.grant(key, holder, null, 'again-');
          }
          await this.wait(3_000);
        })();
      case 'disk is slow':
        return this.onPostmaster(async (at) => {
          const { disk } = fleet.machineOf('postmaster', at);
          disk.mood.delayMs = this.span(20, 400);
          await this.wait(this.span(1_000, 8_000));
          disk.mood.delayMs = 0;
        });
      case 'postmaster dies having confirmed':
        return this.onPostmaster(async (at) => {
          const losesDisk = this.random() < 0.4;
          const draw = this.pick(3);
          if (draw === 0) await this.confirmChange(at);
          else if (draw === 1) await this.confirmRevocation(at);
          else await this.confirmLeaving(at);
          fleet.killPostmaster(at, losesDisk);
          await this.wait(this.span(100, 3_000));
          await fleet.bootPostmaster(at);
          if (losesDisk) await this.untilVoter(at, 300);
        }, true);
      case 'postmaster returns empty elsewhere':
      case 'postmaster is swapped for a stranger':
        return this.onPostmaster(async (at) => {
          const isStranger = kind === 'postmaster is swapped for a stranger';
          const move = (this.state.moves += 1);
          await fleet.movePostmaster(at, `10.0.7.${move}`, isStranger ? `postmaster-new-${move}` : (fleet.postmasterNames[at] as string));
          await this.untilVoter(at, 600);
        }, true);
      case 'replicas are replaced in turn': {
        const names = fleet.replicaHosts.map((_, at) => fleet.replicaName(at)).filter(this.claim);
        return (async () => {
          for (const name of names) {
            const incarnation = fleet.incarnationOf(name);
            await this.tellUntilTaken((at) => fleet.onPostmaster(at, 'POST', `/platform/replicas/${name}/leaving`));
            judge.leftAt.push({ name, incarnation, at: world.time });
            await this.wait(this.span(200, 1_200));
            fleet.killReplica(name);
            await this.wait(this.span(100, 600));
            await this.comeBack(name);
            this.free(name);
          }
        })();
      }
      case 'replica is cut from some counters':
        return this.onReplica(async (name) => {
          const host = fleet.hostOfReplica(name);
          const some = fleet.counterHosts.filter(() => this.random() < 0.5);
          for (const other of some) world.cutBoth(host, other);
          await this.wait(this.span(500, 6_000));
          for (const other of some) {
            world.heal(host, other);
            world.heal(other, host);
          }
        });
      case 'cache store is lost':
        if (!fleet.current.has('store-1') || !this.claim('store-1')) return null;
        return (async () => {
          fleet.killReplica('store-1');
          await this.wait(this.span(200, 3_000));
          if (this.random() < 0.5) await this.comeBack('store-1');
          else {
            world.machine(fleet.storeHost).boot();
            fleet.startStandIn('store-1', fleet.storeHost, { incarnation: fleet.incarnationOf('store-1') });
          }
          const standIn = fleet.current.get('store-1');
          if (standIn !== undefined && this.random() < 0.5) standIn.faults.delayNewsMs = this.span(200, 3_000);
          await this.wait(this.span(500, 5_000));
          if (standIn !== undefined) standIn.faults.delayNewsMs = 0;
        })().finally(() => this.free('store-1'));
      case 'counter is told to stop':
        return this.onCounter(async (at) => {
          if (this.random() < 0.5) return fleet.rollCounter(at);
          void fleet.counters[at]?.drain();
          await this.wait(this.span(50, 1_500));
          fleet.killCounter(at);
          await fleet.bootCounter(at);
        });
      case 'postmaster is told to stop':
        return this.onPostmaster((at) => fleet.rollPostmaster(at));
      case 'clock jumps over a freeze': {
        const isCounter = this.random() < 0.6;
        const work = async (at: number): Promise<void> => {
          const machine = fleet.machineOf(isCounter ? 'counter' : 'postmaster', at);
          machine.freeze();
          await this.wait(this.span(300, 8_000));
          const keepsWall = this.random() < 0.5;
          if (!keepsWall) machine.wallJump += (this.random() < 0.5 ? -1 : 1) * this.span(2_000, 4_000_000);
          machine.thaw(keepsWall);
          await this.wait(1_000);
        };
        return isCounter ? this.onCounter(work) : this.onPostmaster(work);
      }
      case 'kv news is late':
      case 'kv news is lost':
        return this.onReplica(async (name) => {
          const standIn = fleet.current.get(name);
          if (standIn !== undefined) Object.assign(standIn.faults, kind === 'kv news is late' ? { delayNewsMs: 3_000 } : { dropNews: true });
          await this.wait(this.span(1_000, 8_000));
          if (standIn !== undefined) Object.assign(standIn.faults, { delayNewsMs: 0, dropNews: false });
        });
    }
  };
}
