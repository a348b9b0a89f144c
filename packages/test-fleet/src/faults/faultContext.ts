import type { InvariantChecker } from '../invariants/invariantChecker.js';
import type { Grant } from '../invariants/observations.js';
import type { Violation } from '../invariants/violation.js';
import type { SimFleet } from '../simulator/simFleet.js';
import type { SimWorld } from '../simulator/simWorld.js';
import type { FaultKind } from './faultSchedule.js';

interface RunState {
  readonly claimed: Set<string>;
  weights: number;
  changes: number;
  probes: number;
  lastProbedLane: string;
  moves: number;
}

export type Injections = { readonly [K in FaultKind]?: () => Promise<void> | null };

export const propagationMs = 2_000;

export class FaultContext {
  readonly world: SimWorld;
  readonly violations: Violation[] = [];
  readonly state: RunState = {
    claimed: new Set(),
    weights: 1,
    changes: 0,
    probes: 0,
    lastProbedLane: 'query',
    moves: 0,
  };

  constructor(
    readonly fleet: SimFleet,
    readonly checker: InvariantChecker,
  ) {
    this.world = fleet.world;
  }

  readonly random = (): number => this.fleet.world.random();
  readonly pick = (count: number): number => Math.floor(this.random() * count);
  readonly wait = (delayMs: number): Promise<void> =>
    new Promise((wake) => void this.fleet.world.schedule(null, delayMs, wake));
  readonly randomBetween = (low: number, high: number): number => low + this.random() * (high - low);

  readonly claim = (what: string): boolean => {
    if (this.state.claimed.has(what)) return false;
    this.state.claimed.add(what);
    return true;
  };
  readonly release = (what: string): void => void this.state.claimed.delete(what);

  readonly onReplica = (work: (name: string) => Promise<void>): Promise<void> | null => {
    const names = [...this.fleet.replicaNames(), 'app-1'];
    const name = names[this.pick(names.length)] as string;
    if (!this.claim(name)) return null;
    return work(name).finally(() => this.release(name));
  };

  readonly onCounter = (work: (at: number) => Promise<void>): Promise<void> | null => {
    const at = this.pick(this.fleet.options.fronts);
    if (!this.claim(`counter ${at}`)) return null;
    return work(at).finally(() => this.release(`counter ${at}`));
  };

  readonly onPostmaster = (work: (at: number) => Promise<void>, needsCalm = false): Promise<void> | null => {
    const at = this.pick(3);
    if (needsCalm) {
      if ([0, 1, 2].some((one) => this.state.claimed.has(`postmaster ${one}`))) return null;
      for (const one of [0, 1, 2]) this.claim(`postmaster ${one}`);
      return work(at).finally(() =>
        [0, 1, 2].forEach((one) => {
          this.release(`postmaster ${one}`);
        }),
      );
    }
    if (!this.claim(`postmaster ${at}`)) return null;
    return work(at).finally(() => this.release(`postmaster ${at}`));
  };

  readonly retryUntilAccepted = async (send: (at: number) => Promise<{ status: number }>): Promise<void> => {
    for (let shot = 0; shot < 200; shot += 1) {
      const response = await send(this.pick(3));
      if (response.status === 200) return;
      await this.wait(200);
    }
    throw new Error('the platform was never heard');
  };

  readonly restartReplica = async (name: string): Promise<void> => {
    this.fleet.bootReplica(name);
    await this.retryUntilAccepted((at) => this.fleet.announce(name, at));
  };

  readonly layoutOf = async (): Promise<{ at: number; base: number }> => {
    for (;;) {
      const at = this.pick(3);
      const held = await this.fleet.onPostmaster(at, 'GET', '/operator/layout');
      if (held.status === 200) return { at, base: Number(held.body.generation) };
      await this.wait(200);
    }
  };

  readonly change = async (part: Record<string, unknown>, at: number, base: number): Promise<boolean> => {
    const id = `change-${++this.state.changes}`;
    for (let shot = 0; ; shot += 1) {
      const response = await this.fleet.onPostmaster(
        shot === 0 ? at : this.pick(3),
        'PATCH',
        '/operator/layout',
        part,
        {
          'if-match': `"${base}"`,
          'change-id': id,
        },
      );
      if (response.status === 200) {
        const generation = Number(response.body.generation);
        this.checker.acceptedIds.set(id, generation);
        this.fleet.world.schedule(null, propagationMs, () => this.checkInForce(id, generation));
        return true;
      }
      if (response.status === 409 || response.status === 422) {
        this.checker.refusedIds.add(id);
        return false;
      }
      await this.wait(150);
    }
  };

  readonly checkInForce = (id: string, generation: number): void => {
    this.fleet.counters.forEach((counter, at) => {
      if (counter === null || !counter.freshness.isFresh() || counter.book.generation() >= generation) return;
      this.violations.push({
        rule: 'an accepted change is not in force',
        detail: `${id}: counter ${at + 1} serves under ${counter.book.generation()}, not ${generation}, after ${propagationMs} ms`,
      });
    });
  };

  readonly grant = async (
    key: string,
    tenant: string,
    entry: Record<string, unknown> | null,
    prefix = '',
  ): Promise<Grant> => {
    const grant = this.checker.grant(key, tenant);
    await this.retryUntilAccepted((at) =>
      this.fleet.onPostmaster(
        at,
        'POST',
        '/platform/clients',
        { tenant, key, ...(entry === null ? {} : { grant: entry }) },
        { 'change-id': `grant-${prefix}${key}` },
      ),
    );
    return grant;
  };

  readonly untilVoter = async (at: number, shots: number): Promise<void> => {
    for (let shot = 0; shot < shots && this.fleet.postmasters[at]?.acceptor.isVoter() !== true; shot += 1)
      await this.wait(100);
    if (this.fleet.postmasters[at]?.acceptor.isVoter() !== true)
      throw new Error('the empty postmaster was never swapped in');
  };
}
