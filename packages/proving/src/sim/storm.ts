import { plans, keyOf } from '../firms.js';
import { Judge } from './judge.js';
import type { Told } from './judge.js';
import { SimFleet } from './simFleet.js';
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
] as const;
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
  readonly breakage?: Partial<SimPlan>;
}

export interface StormReport {
  readonly seed: number;
  readonly digest: number;
  readonly brought: Record<string, number>;
  readonly complaints: Told[];
  readonly tally: Record<string, number>;
  readonly calls: number;
}

interface Quirk {
  readonly busy: Set<string>;
  weights: number;
  changes: number;
}

const settleMs = 12_000;
const inForceMs = 2_000;

export class Storm {
  readonly fleet: SimFleet;
  readonly judge: Judge;
  readonly brought: Record<string, number> = {};
  private readonly state: Quirk = { busy: new Set(), weights: 1, changes: 0 };
  private readonly open = new Set<Promise<void>>();
  private readonly late: Told[] = [];

  constructor(private readonly plan: StormPlan) {
    this.fleet = new SimFleet({ seed: plan.seed, fronts: plan.fronts ?? 4, replicas: plan.replicas ?? 6, ...plan.breakage });
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
    for (const tenant of plans.tenantNames) judge.granted.set(keyOf(tenant), { tenant, from: 0, to: Number.POSITIVE_INFINITY });
    const spanMs = plan.spanMs ?? 20_000;
    const kinds = plan.kinds ?? faultKinds;
    const count = plan.faults ?? 6;
    judge.traffic(plan.ratePerSecond ?? 25, spanMs + settleMs + 3_000, plan.longShare ?? 0.1);
    judge.keyedTraffic(4, spanMs + settleMs);
    for (let at = 0; at < count; at += 1) {
      const kind = kinds[this.pick(kinds.length)] as FaultKind;
      world.plan(null, this.span(500, spanMs * 0.7), () => this.bring(kind));
    }
    await world.run(spanMs);
    await world.until('the faults to pass', () => this.open.size === 0, 90_000);
    world.healAll();
    const healedAt = world.time;
    await world.run(settleMs);
    const probesFrom = world.time;
    judge.traffic(20, 2_000);
    await world.run(45_000);
    const complaints = [...judge.complaints(), ...judge.statePlaints(), ...this.late, ...this.recoveryPlaints(healedAt, probesFrom)];
    return { seed: plan.seed, digest: world.digest, brought: this.brought, complaints, tally: judge.tally(), calls: judge.calls.length };
  };

  private readonly recoveryPlaints = (healedAt: number, probesFrom: number): Told[] => {
    const probes = this.judge.calls.filter((call) => call.sentAt >= probesFrom && call.sentAt < probesFrom + 2_000);
    const whole = probes.filter((call) => call.verdict === 'whole').length;
    const told: Told[] = whole < probes.length * 0.8 ? [{ rule: 'service still mostly absent', detail: `${whole} of ${probes.length} whole ${Math.round(probesFrom - healedAt)} ms after healing` }] : [];
    for (const call of this.judge.calls) if (call.verdict === 'open') told.push({ rule: 'a call never ended', detail: call.requestId });
    const generations = new Set(this.fleet.counters.map((counter) => counter?.book.generation()));
    if (generations.size !== 1) told.push({ rule: 'an accepted change is not in force', detail: `counters hold generations ${[...generations].join(', ')}` });
    return told;
  };

  private readonly bring = (kind: FaultKind): void => {
    const work = this.begin(kind);
    if (work === null) return;
    this.brought[kind] = (this.brought[kind] ?? 0) + 1;
    const tracked = work.finally(() => void this.open.delete(tracked));
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
        return (async () => {
          const { base } = await this.layoutOf();
          const wins = await Promise.all([0, 1, 2].map((at) => this.change({ tiers: { steady: { rank: 1, horizonMs: 20_000 + at } } }, at, base)));
          if (wins.filter(Boolean).length > 1) judge.acceptedIds.set('two rivals were both accepted', -1);
        })();
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
        return (async () => {
          const tenant = plans.tenantNames[this.pick(plans.tenantNames.length)] as string;
          const key = `brief-${this.state.changes}-${this.pick(1_000_000)}`;
          const at = this.pick(3);
          const id = `grant-${key}`;
          const granted = await this.fleet.onPostmaster(at, 'POST', '/platform/clients', { tenant, key }, { 'change-id': id });
          if (granted.status !== 200) return;
          judge.acceptedIds.set(id, Number(granted.body['generation']));
          const grant = { tenant, from: 0, to: Number.POSITIVE_INFINITY };
          judge.granted.set(key, grant);
          const stopAt = world.time + 12_000;
          const ask = (): void => {
            if (world.time >= stopAt) return;
            judge.send({ ...plans.ask(this.random, judge.calls.length, 0.3), key, tenant }, this.pick(fleet.plan.fronts));
            world.plan(null, 150, ask);
          };
          ask();
          await this.wait(this.span(1_500, 4_000));
          await this.tellUntilTaken((one) => fleet.onPostmaster(one, 'POST', '/platform/keys/revoke', { key }, { 'change-id': `revoke-${key}` }));
          grant.to = world.time;
          await this.wait(4_000);
        })();
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
