/**
 * A deterministic discrete-event simulation of machines and their network. Time is virtual and all randomness comes
 * from one seed, so that two runs with the same seed have the same events.
 */
import { Heap } from 'heap-js';
import { seededRandom } from '../workload/sampleDeployments.js';
import { NetworkLinks } from './networkLinks.js';
import { SimLink } from './simLink.js';
import { SimMachine } from './simMachine.js';
import type { LogLine, ScheduledEvent, SimulatedMachine, Simulation } from './simulation.js';

const defaultTimeoutMs = 30_000;
const pollMs = 20;

const byTime = (a: ScheduledEvent, b: ScheduledEvent): number => a.at - b.at || a.order - b.order;

/** Resolves after all pending promise callbacks have run. */
const promisesSettled = (): Promise<void> => new Promise((done) => setImmediate(done));

/** Owns the clock, the machines by host and the network between them. Times are virtual milliseconds. */
export class SimWorld implements Simulation {
  readonly random: () => number;
  /** All machines by host. */
  readonly machines = new Map<string, SimMachine>();
  readonly logLines: LogLine[] = [];
  private readonly links: NetworkLinks;
  private readonly scheduled = new Heap<ScheduledEvent>(byTime);
  private order = 0;
  /** Called with each write on a connection between two machines, before it is sent. */
  onWrite: ((from: string, to: string, bytes: Uint8Array) => void) | null = null;
  time = 0;
  /** Number of events run so far. */
  events = 0;
  /** A digest of the times and order of all events so far; equal for equal runs. */
  digest = 0;

  constructor(
    /** Seeds the random number generator. */
    readonly seed: number,
  ) {
    this.random = seededRandom(seed);
    this.links = new NetworkLinks(this.random);
    this.blockLink = this.links.block;
    this.unblockLink = this.links.unblock;
    this.isBlocked = this.links.isBlocked;
    this.delayLink = this.links.delay;
    this.healAll = this.links.healAll;
    this.latency = this.links.latency;
  }

  /** See `NetworkLinks`. */
  readonly blockLink: NetworkLinks['block'];
  /** See `NetworkLinks`. */
  readonly unblockLink: NetworkLinks['unblock'];
  /** See `NetworkLinks`. */
  readonly isBlocked: NetworkLinks['isBlocked'];
  /** See `NetworkLinks`. */
  readonly delayLink: NetworkLinks['delay'];
  /** See `NetworkLinks`. */
  readonly healAll: NetworkLinks['healAll'];
  /** See `NetworkLinks`. */
  readonly latency: NetworkLinks['latency'];

  /** Returns the machine with the given host, and creates it on first use. */
  readonly machine = (host: string): SimMachine => {
    const known = this.machines.get(host);
    if (known !== undefined) return known;
    const machine = new SimMachine(this, host);
    this.machines.set(host, machine);
    return machine;
  };

  /**
   * Calls back after the delay, unless the machine crashes or restarts in between; on a frozen machine the event runs
   * when it is thawed.
   */
  readonly schedule = (machine: SimulatedMachine | null, delayMs: number, callback: () => void): ScheduledEvent => {
    const event: ScheduledEvent = {
      at: this.time + Math.max(0, delayMs),
      order: ++this.order,
      machine,
      incarnation: machine?.incarnation ?? 0,
      callback,
      isCancelled: false,
    };
    this.scheduled.push(event);
    return event;
  };

  /** Resolves after the given virtual time. */
  readonly sleep = (delayMs: number, machine: SimulatedMachine | null = null): Promise<void> =>
    new Promise((wake) => void this.schedule(machine, delayMs, wake));

  /** Runs all events within the given duration. */
  readonly run = async (durationMs: number): Promise<void> => {
    const until = this.time + durationMs;
    await promisesSettled();
    for (let next = this.scheduled.peek(); next !== undefined && next.at <= until; next = this.scheduled.peek()) {
      this.scheduled.pop();
      if (!this.isDue(next)) continue;
      this.events += 1;
      this.digest = (Math.imul(this.digest, 31) + Math.floor(next.at * 16) + next.order) | 0;
      next.callback();
      await promisesSettled();
    }
    this.time = until;
  };

  private readonly isDue = (event: ScheduledEvent): boolean => {
    if (event.isCancelled) return false;
    this.time = Math.max(this.time, event.at);
    const { machine } = event;
    if (machine === null) return true;
    if (machine.incarnation !== event.incarnation || !machine.isUp) return false;
    if (machine.isFrozen) machine.postponed.push(event);
    return !machine.isFrozen;
  };

  /**
   * Runs until the condition holds, and returns the elapsed virtual milliseconds.
   *
   * @throws Error with the seed if the condition does not hold within `timeoutMs`
   */
  readonly until = async (what: string, condition: () => boolean, timeoutMs = defaultTimeoutMs): Promise<number> => {
    const startedAt = this.time;
    while (!condition()) {
      if (this.time - startedAt > timeoutMs)
        throw new Error(`seed ${this.seed}: timed out after ${timeoutMs} virtual ms: ${what}`);
      await this.run(pollMs);
    }
    return this.time - startedAt;
  };

  /** Blocks both directions between two machines. */
  readonly partition = (a: string, b: string): void => {
    this.blockLink(a, b);
    this.blockLink(b, a);
  };

  /** Ends the partition between two machines. */
  readonly heal = (a: string, b: string): void => {
    this.unblockLink(a, b);
    this.unblockLink(b, a);
  };

  /** Partitions a machine from all others. */
  readonly isolate = (host: string): void => {
    for (const other of this.machines.keys()) if (other !== host) this.partition(host, other);
  };

  /** Ends all partitions of a machine. */
  readonly reconnect = (host: string): void => {
    for (const other of this.machines.keys()) this.heal(host, other);
  };

  /**
   * Limits the bandwidth that a machine's connections share, in bytes per second and direction; HTTP requests are not
   * limited.
   */
  readonly limitBandwidth = (host: string, bytesPerSecond: number): void => {
    const machine = this.machine(host);
    machine.outbound = new SimLink(this, bytesPerSecond);
    machine.inbound = new SimLink(this, bytesPerSecond);
  };
}
