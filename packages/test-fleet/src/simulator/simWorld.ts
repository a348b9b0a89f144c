import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Heap } from 'heap-js';
import type {
  Carriage,
  CarriageReceipt,
  Clock,
  Door,
  Log,
  Net,
  NetFault,
  Ports,
  Random,
  WebHandler,
  Wire,
} from '@martenworks/core-types';
import { logs } from '@martenworks/core-types';
import { seeded } from '../workload/sampleDeployments.js';
import { SimDisk } from './simDisk.js';
import { SimLink, SimSender } from './simLink.js';

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly machine: SimMachine | null;
  readonly incarnation: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

const byTime = (a: ScheduledEvent, b: ScheduledEvent): number => a.at - b.at || a.order - b.order;
const hostOf = (address: string): string => address.slice(0, address.lastIndexOf(':'));
const settled = (): Promise<void> => new Promise((done) => setImmediate(done));

export interface LogLine {
  readonly at: number;
  readonly machine: string;
  readonly message: string;
  readonly context: Record<string, unknown>;
}

const pairsOf = (list: readonly string[]): [string, string][] =>
  list.flatMap((name, at): [string, string][] => (at % 2 === 0 ? [[name, list[at + 1] ?? '']] : []));

export class SimWorld {
  readonly random: () => number;
  readonly machines = new Map<string, SimMachine>();
  readonly logLines: LogLine[] = [];
  private readonly scheduled = new Heap<ScheduledEvent>(byTime);
  private readonly blockedLinks = new Set<string>();
  private readonly linkDelays = new Map<string, number>();
  private order = 0;
  /** Called with each write on a connection between two machines, before it is under way. */
  onWrite: ((from: string, to: string, bytes: Uint8Array) => void) | null = null;
  time = 0;
  events = 0;
  digest = 0;

  constructor(readonly seed: number) {
    this.random = seeded(seed);
  }

  readonly machine = (host: string): SimMachine => {
    const held = this.machines.get(host);
    if (held !== undefined) return held;
    const machine = new SimMachine(this, host);
    this.machines.set(host, machine);
    return machine;
  };

  readonly schedule = (machine: SimMachine | null, delayMs: number, callback: () => void): ScheduledEvent => {
    const scheduled: ScheduledEvent = {
      at: this.time + Math.max(0, delayMs),
      order: ++this.order,
      machine,
      incarnation: machine?.incarnation ?? 0,
      callback,
      isCancelled: false,
    };
    this.scheduled.push(scheduled);
    return scheduled;
  };

  readonly run = async (forMs: number): Promise<void> => {
    const until = this.time + forMs;
    await settled();
    for (;;) {
      const next = this.scheduled.peek();
      if (next === undefined || next.at > until) break;
      this.scheduled.pop();
      if (next.isCancelled) continue;
      this.time = Math.max(this.time, next.at);
      if (next.machine !== null) {
        if (next.machine.incarnation !== next.incarnation || !next.machine.isUp) continue;
        if (next.machine.isFrozen) {
          next.machine.postponed.push(next);
          continue;
        }
      }
      this.events += 1;
      this.digest = (Math.imul(this.digest, 31) + Math.floor(next.at * 16) + next.order) | 0;
      next.callback();
      await settled();
    }
    this.time = until;
  };

  readonly until = async (what: string, test: () => boolean, patienceMs = 30_000): Promise<number> => {
    const begin = this.time;
    while (!test()) {
      if (this.time - begin > patienceMs)
        throw new Error(`seed ${this.seed}: timed out after ${patienceMs} virtual ms: ${what}`);
      await this.run(20);
    }
    return this.time - begin;
  };

  readonly blockLink = (from: string, to: string): void => void this.blockedLinks.add(`${from}>${to}`);
  readonly unblockLink = (from: string, to: string): void => void this.blockedLinks.delete(`${from}>${to}`);
  readonly partition = (a: string, b: string): void => {
    this.blockLink(a, b);
    this.blockLink(b, a);
  };
  readonly healAll = (): void => {
    this.blockedLinks.clear();
    this.linkDelays.clear();
  };
  readonly delayLink = (from: string, to: string, delayMs: number): void =>
    void this.linkDelays.set(`${from}>${to}`, delayMs);
  readonly isolate = (host: string): void => {
    for (const other of this.machines.keys()) if (other !== host) this.partition(host, other);
  };
  readonly reconnect = (host: string): void => {
    for (const other of this.machines.keys()) {
      this.unblockLink(host, other);
      this.unblockLink(other, host);
    }
  };
  /** Gives a machine's connections a shared width each way, in bytes a second; the HTTP carriage is not narrowed. */
  readonly limitBandwidth = (host: string, bytesPerSecond: number): void => {
    const machine = this.machine(host);
    machine.outbound = new SimLink(this, bytesPerSecond);
    machine.inbound = new SimLink(this, bytesPerSecond);
  };
  readonly isBlocked = (from: string, to: string): boolean => this.blockedLinks.has(`${from}>${to}`);
  readonly latency = (from: string, to: string): number =>
    (from === to ? 0.05 : 0.2 + this.random() * 0.8) + (this.linkDelays.get(`${from}>${to}`) ?? 0);
}

interface ResponseState {
  isSilent: boolean;
  readonly givenUp: AbortController;
}

interface Pipe {
  readonly from: SimMachine;
  readonly to: SimMachine;
  lastAt: number;
  isShut: boolean;
  onBytes: ((bytes: Uint8Array) => void) | null;
  onClose: (() => void) | null;
  readonly early: Uint8Array[];
}

const resendMs = 200;
const doorCloseMs = 1_000;
const doorCheckMs = 1;

const deliver = (world: SimWorld, pipe: Pipe, act: () => void): void => {
  const at = Math.max(pipe.lastAt, world.time + world.latency(pipe.from.host, pipe.to.host));
  pipe.lastAt = at;
  world.schedule(pipe.to, at - world.time, () => ordered(world, pipe, act));
};

const ordered = (world: SimWorld, pipe: Pipe, act: () => void): void => {
  if (pipe.isShut) return;
  if (world.isBlocked(pipe.from.host, pipe.to.host)) {
    blockedDeliveries.set(pipe, [...(blockedDeliveries.get(pipe) ?? []), act]);
    if (blockedDeliveries.get(pipe)?.length === 1) retryBlocked(world, pipe);
    return;
  }
  const waiting = blockedDeliveries.get(pipe);
  if (waiting !== undefined && waiting.length > 0) {
    waiting.push(act);
    return;
  }
  act();
};

const blockedDeliveries = new WeakMap<Pipe, (() => void)[]>();

const retryBlocked = (world: SimWorld, pipe: Pipe): void => {
  world.schedule(pipe.to, resendMs, () => {
    if (pipe.isShut) return;
    if (world.isBlocked(pipe.from.host, pipe.to.host)) return retryBlocked(world, pipe);
    const acts = blockedDeliveries.get(pipe) ?? [];
    blockedDeliveries.delete(pipe);
    for (const act of acts) act();
  });
};

export class SimMachine {
  isUp = true;
  isFrozen = false;
  incarnation = 0;
  wallClockOffset = 0;
  monotonicPauseMs = 0;
  outbound: SimLink | null = null;
  inbound: SimLink | null = null;
  private frozenAt: number | null = null;
  readonly postponed: ScheduledEvent[] = [];
  disk: SimDisk;
  private readonly listeners = new Map<string, (wire: Wire) => void>();
  private readonly doors = new Map<string, WebHandler>();
  private readonly crashListeners = new Set<(isReset: boolean) => void>();
  private readonly answering = new Set<() => void>();

  constructor(
    readonly world: SimWorld,
    readonly host: string,
  ) {
    this.disk = new SimDisk((delayMs) => new Promise((wake) => void world.schedule(this, delayMs, wake)));
  }

  readonly clock = (): Clock => {
    const { incarnation } = this;
    return {
      now: () => this.world.time - this.monotonicPauseMs,
      wall: () => 1_700_000_000_000 + this.world.time + this.wallClockOffset,
      after: (delayMs, callback) => {
        if (this.incarnation !== incarnation) return { cancel: () => {} };
        const scheduled = this.world.schedule(this, delayMs, callback);
        return {
          cancel: () => {
            scheduled.isCancelled = true;
          },
        };
      },
    };
  };

  private readonly randomPort = (): Random => ({
    fraction: this.world.random,
    token: (byteCount) =>
      Array.from({ length: byteCount }, () =>
        Math.floor(this.world.random() * 256)
          .toString(16)
          .padStart(2, '0'),
      ).join(''),
  });

  private readonly log = (context: Record<string, unknown>): Log => {
    const write = (message: string, more?: Record<string, unknown>): void =>
      void (message === 'request' || message === 'denied'
        ? 0
        : this.world.logLines.push({
            at: this.world.time,
            machine: this.host,
            message,
            context: { ...context, ...more },
          }));
    return { info: write, warn: write, error: write, child: (more) => this.log({ ...context, ...more }) };
  };

  readonly ports = (isLogging = true): Ports => {
    const { incarnation } = this;
    return {
      clock: this.clock(),
      random: this.randomPort(),
      net: this.net(incarnation),
      door: this.door(incarnation),
      carriage: this.carriage(incarnation),
      disk: this.disk.view(() => this.incarnation === incarnation && this.isUp),
      log: isLogging ? this.log({}) : logs.silent(),
    };
  };

  private readonly net = (incarnation: number): Net => ({
    dial: (address, patienceMs) =>
      new Promise((settle) => {
        if (this.incarnation !== incarnation) return;
        const fail = (code: string): void => settle(err({ kind: 'net', code, isUnsent: true }));
        const target = this.world.machine(hostOf(address));
        let isDone = false;
        this.world.schedule(this, patienceMs, () => {
          if (!isDone) fail('ETIMEDOUT');
          isDone = true;
        });
        if (this.world.isBlocked(this.host, target.host)) return;
        this.world.schedule(target, this.world.latency(this.host, target.host), () => {
          if (isDone || this.world.isBlocked(target.host, this.host)) return;
          const onWire = target.listeners.get(address);
          if (onWire === undefined) {
            this.world.schedule(this, this.world.latency(target.host, this.host), () => {
              if (!isDone) fail('ECONNREFUSED');
              isDone = true;
            });
            return;
          }
          const [near, far] = this.pair(target, incarnation);
          onWire(far);
          this.world.schedule(this, this.world.latency(target.host, this.host), () => {
            if (isDone) return near.close();
            isDone = true;
            settle(ok(near));
          });
        });
        if (!target.isUp) {
          this.world.schedule(this, 1, () => {
            if (!isDone && !target.isVanished) {
              isDone = true;
              fail('ECONNREFUSED');
            }
          });
        }
      }),
    listen: async (address, onWire) => {
      this.listeners.set(address, onWire);
      return ok({ close: async () => void this.listeners.delete(address) });
    },
  });

  isVanished = false;

  private readonly pair = (target: SimMachine, incarnation: number): [Wire, Wire] => {
    const out: Pipe = { from: this, to: target, lastAt: 0, isShut: false, onBytes: null, onClose: null, early: [] };
    const back: Pipe = { from: target, to: this, lastAt: 0, isShut: false, onBytes: null, onClose: null, early: [] };
    const shutEnd = (inbound: Pipe): void => {
      if (inbound.isShut) return;
      inbound.isShut = true;
      const { onClose } = inbound;
      inbound.onClose = null;
      onClose?.();
    };
    const wireFor = (send: Pipe, receive: Pipe, owner: SimMachine, ownerIncarnation: number): Wire => {
      const arrive = (bytes: Uint8Array): void => {
        if (send.onBytes === null) send.early.push(bytes);
        else send.onBytes(bytes);
      };
      const sender = new SimSender(
        () => owner.outbound,
        () => send.to.inbound,
        (bytes, arrived) =>
          deliver(this.world, send, () => {
            arrived();
            arrive(bytes);
          }),
      );
      const close = (): void => {
        if (receive.isShut) return;
        sender.discard();
        deliver(this.world, send, () => shutEnd(send));
        shutEnd(receive);
        owner.crashListeners.delete(crash);
      };
      const crash = (isReset: boolean): void => {
        sender.discard();
        if (isReset && !receive.isShut)
          this.world.schedule(send.to, this.world.latency(owner.host, send.to.host), () => shutEnd(send));
        receive.isShut = true;
        receive.onClose = null;
      };
      owner.crashListeners.add(crash);
      return {
        remote: send.to.host,
        write: (bytes) => {
          if (receive.isShut || owner.incarnation !== ownerIncarnation) return;
          this.world.onWrite?.(owner.host, send.to.host, bytes);
          sender.write(bytes.slice());
        },
        backlog: sender.backlog,
        listen: (onBytes, onClose) => {
          receive.onBytes = onBytes;
          receive.onClose = onClose;
          for (const bytes of receive.early.splice(0)) onBytes(bytes);
        },
        close,
      };
    };
    return [wireFor(out, back, this, incarnation), wireFor(back, out, target, target.incarnation)];
  };

  private readonly door = (incarnation: number): Door => ({
    open: async (address, handler) => {
      if (this.incarnation === incarnation) this.doors.set(address, handler);
      return ok({ close: async () => void this.doors.delete(address) });
    },
  });

  readonly openDoor = (address: string, handler: WebHandler): void => void this.doors.set(address, handler);

  /** As the program does when it exits: nothing new is taken, and answers under way get a while to reach their callers. */
  readonly closeDoors = async (): Promise<void> => {
    this.doors.clear();
    const until = this.world.time + doorCloseMs;
    while (this.answering.size > 0 && this.world.time < until)
      await new Promise<void>((wake) => void this.world.schedule(this, doorCheckMs, wake));
  };

  readonly closeDoor = (address: string): void => void this.doors.delete(address);

  readonly carriage = (incarnation = this.incarnation): Carriage => ({
    close: async () => {},
    carry: (request) =>
      new Promise((settle) => {
        if (this.incarnation !== incarnation) return;
        const { world } = this;
        const { host, pathname, search } = new URL(request.url);
        const target = world.machine(hostOf(host));
        const targetIncarnation = target.incarnation;
        let isDone = false;
        const finish = (outcome: Result<CarriageReceipt, NetFault>): void => {
          if (isDone) return;
          isDone = true;
          if (outcome.isErr()) request.signal.removeEventListener('abort', givenUp);
          settle(outcome);
        };
        const fail = (code: string, isUnsent: boolean): void =>
          finish(err({ kind: 'net', code, isUnsent } satisfies NetFault));
        const quit = new AbortController();
        const state: ResponseState = { isSilent: false, givenUp: new AbortController() };
        const givenUp = (): void => {
          quit.abort();
          state.givenUp.abort();
          fail('ABORTED', false);
        };
        if (request.signal.aborted) return fail('ABORTED', true);
        request.signal.addEventListener('abort', givenUp, { once: true });
        world.schedule(this, 1_000, () => {
          if (!isConnected) fail('ETIMEDOUT', true);
        });
        let isConnected = false;
        if (!target.isUp && !target.isVanished) {
          world.schedule(this, world.latency(this.host, target.host), () => fail('ECONNREFUSED', true));
          return;
        }
        if (world.isBlocked(this.host, target.host) || world.isBlocked(target.host, this.host) || !target.isUp) return;
        const connectMs = world.latency(this.host, target.host) + world.latency(target.host, this.host);
        world.schedule(this, connectMs, () => {
          if (isDone) return;
          if (target.incarnation !== targetIncarnation || !target.isUp) return fail('ECONNREFUSED', true);
          isConnected = true;
          if (!request.gate()) return fail('GATED', true);
          const lost = (): void => {
            quit.abort();
            fail('ECONNRESET', false);
          };
          const targetGone = (isReset: boolean): void => {
            state.isSilent = !isReset;
            quit.abort();
            if (isReset) world.schedule(this, world.latency(target.host, this.host), lost);
          };
          target.crashListeners.add(targetGone);
          const ownGone = (): void => quit.abort();
          this.crashListeners.add(ownGone);
          const ended = (): void => {
            target.answering.delete(ended);
            target.crashListeners.delete(targetGone);
            this.crashListeners.delete(ownGone);
            request.signal.removeEventListener('abort', givenUp);
          };
          world.schedule(target, world.latency(this.host, target.host), () => {
            const handler = target.doors.get(host);
            if (handler === undefined) {
              world.schedule(this, world.latency(target.host, this.host), () => fail('ECONNREFUSED', true));
              return;
            }
            target.answering.add(ended);
            const asked = new Request(`http://${host}${pathname}${search}`, {
              method: request.method,
              headers: Array.isArray(request.headers)
                ? pairsOf(request.headers as string[])
                : (request.headers as Record<string, string>),
              signal: quit.signal,
              ...(request.body === null ? {} : { body: request.body as string }),
            });
            void Promise.resolve(handler(asked)).then((response) => {
              const arrive = (): void => {
                const receipt: CarriageReceipt = {
                  status: response.status,
                  header: (name) => response.headers.get(name),
                  headers: () => [...response.headers].flat(),
                  body: this.bodyOf(response, target, targetIncarnation, quit, state, ended),
                };
                finish(ok(receipt));
              };
              const back = (): void => {
                if (world.isBlocked(target.host, this.host)) world.schedule(target, resendMs, back);
                else world.schedule(this, world.latency(target.host, this.host), arrive);
              };
              if (target.incarnation === targetIncarnation && target.isUp) back();
            });
          });
        });
      }),
  });

  private readonly bodyOf = async function* (
    this: SimMachine,
    response: Response,
    target: SimMachine,
    targetIncarnation: number,
    quit: AbortController,
    state: ResponseState,
    ended: () => void,
  ): AsyncGenerator<Uint8Array> {
    const { world } = this;
    const reader = response.body?.getReader();
    if (reader === undefined) return ended();
    quit.signal.addEventListener('abort', () => void reader.cancel().catch(() => {}), { once: true });
    const crossing = (): Promise<boolean> =>
      new Promise((settle) => {
        const leave = (): void => {
          if (quit.signal.aborted) settle(false);
          else if (world.isBlocked(target.host, this.host)) world.schedule(null, resendMs, leave);
          else
            world.schedule(this, world.latency(target.host, this.host), () =>
              settle(!quit.signal.aborted || target.incarnation === targetIncarnation),
            );
        };
        leave();
      });
    const broken = new Promise<'broken'>((settle) =>
      quit.signal.addEventListener('abort', () => settle('broken'), { once: true }),
    );
    let isDone = false;
    try {
      for (;;) {
        const read = reader.read();
        read.catch(() => {});
        const next = quit.signal.aborted ? 'broken' : await Promise.race([read, broken]);
        if (state.isSilent)
          await new Promise<void>((wake) =>
            state.givenUp.signal.aborted
              ? wake()
              : state.givenUp.signal.addEventListener('abort', () => wake(), { once: true }),
          );
        if (next === 'broken' || target.incarnation !== targetIncarnation)
          throw Object.assign(new Error('reset'), { code: 'ECONNRESET' });
        if (!(await crossing())) throw Object.assign(new Error('reset'), { code: 'ECONNRESET' });
        if (next.done) {
          isDone = true;
          return;
        }
        yield next.value as Uint8Array;
      }
    } finally {
      if (!isDone) void reader.cancel().catch(() => {});
      ended();
    }
  };

  readonly kill = (unsyncedShareKept = 0): void => {
    if (!this.isUp) return;
    this.isUp = false;
    this.incarnation += 1;
    this.isFrozen = false;
    this.postponed.length = 0;
    this.listeners.clear();
    this.doors.clear();
    this.answering.clear();
    for (const shut of [...this.crashListeners]) shut(!this.isVanished);
    this.crashListeners.clear();
    this.disk.crash(unsyncedShareKept);
    this.disk.unstall();
  };

  readonly vanish = (): void => {
    this.isVanished = true;
    this.kill();
  };

  readonly boot = (): void => {
    this.isUp = true;
    this.isVanished = false;
    this.incarnation += 1;
    this.disk.faults.isFull = false;
    this.disk.faults.failsSync = false;
  };

  readonly freeze = (): void => {
    this.isFrozen = true;
    this.frozenAt = this.world.time;
  };

  readonly thaw = (stopsMonotonic = false): void => {
    if (stopsMonotonic && this.isFrozen) this.monotonicPauseMs += this.world.time - (this.frozenAt ?? this.world.time);
    this.isFrozen = false;
    for (const scheduled of this.postponed.splice(0))
      this.world.schedule(this, 0, () => {
        if (!scheduled.isCancelled) scheduled.callback();
      });
  };
}
