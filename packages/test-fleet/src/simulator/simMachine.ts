/** A simulated machine: its process can crash, restart and freeze, and its clocks can jump. */
import type {
  HttpClient,
  Clock,
  HttpServer,
  Log,
  Net,
  Ports,
  Random,
  WebHandler,
  RawConnection,
} from '@martenworks/core-types';
import { logs } from '@martenworks/core-types';
import { ok } from 'neverthrow';
import { connectTo } from './simConnection.js';
import { SimDisk } from './simDisk.js';
import { SimHttpExchange } from './simHttpExchange.js';
import type { SimLink } from './simLink.js';
import type { ScheduledEvent, SimulatedMachine, Simulation } from './simulation.js';

const httpShutdownMs = 1_000;
const httpShutdownPollMs = 1;
/** The wall clock of all machines at virtual time 0, in milliseconds since 1970. */
const epochMs = 1_700_000_000_000;
/** Messages logged once per request; they are dropped to limit memory use. */
const unloggedMessages = new Set(['request', 'denied']);

/** Provides the ports of its process; those of one incarnation stop working once the machine crashes or restarts. */
export class SimMachine implements SimulatedMachine {
  isUp = true;
  isVanished = false;
  isFrozen = false;
  incarnation = 0;
  /** Offset of the wall clock in milliseconds. */
  wallClockOffset = 0;
  /** Milliseconds for which the monotonic clock stood still in pauses. */
  monotonicPauseMs = 0;
  outbound: SimLink | null = null;
  inbound: SimLink | null = null;
  /** The disk, which survives the process. */
  disk: SimDisk;
  readonly postponed: ScheduledEvent[] = [];
  readonly crashListeners = new Set<(isReset: boolean) => void>();
  readonly openResponses = new Set<() => void>();
  private frozenAt: number | null = null;
  private readonly listeners = new Map<string, (connection: RawConnection) => void>();
  private readonly httpHandlers = new Map<string, WebHandler>();

  constructor(
    readonly world: Simulation,
    readonly host: string,
  ) {
    this.disk = new SimDisk((delayMs) => world.sleep(delayMs, this));
  }

  readonly listenerAt = (address: string): ((connection: RawConnection) => void) | undefined =>
    this.listeners.get(address);

  readonly handlerAt = (address: string): WebHandler | undefined => this.httpHandlers.get(address);

  /** Returns the clocks of the current incarnation. */
  readonly clock = (): Clock => {
    const { incarnation } = this;
    return {
      now: () => this.world.time - this.monotonicPauseMs,
      wall: () => epochMs + this.world.time + this.wallClockOffset,
      after: (delayMs, callback) => {
        if (this.incarnation !== incarnation) return { cancel: () => {} };
        const event = this.world.schedule(this, delayMs, callback);
        return {
          cancel: () => {
            event.isCancelled = true;
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
    const write = (message: string, fields?: Record<string, unknown>): void => {
      if (unloggedMessages.has(message)) return;
      const { time, logLines } = this.world;
      logLines.push({ at: time, machine: this.host, message, context: { ...context, ...fields } });
    };
    return { info: write, warn: write, error: write, child: (fields) => this.log({ ...context, ...fields }) };
  };

  /** Returns the ports of a process that starts now. */
  readonly ports = (isLogging = true): Ports => {
    const { incarnation } = this;
    return {
      clock: this.clock(),
      random: this.randomPort(),
      net: this.net(incarnation),
      httpServer: this.httpServer(incarnation),
      httpClient: this.httpClient(incarnation),
      disk: this.disk.view(() => this.incarnation === incarnation && this.isUp),
      log: isLogging ? this.log({}) : logs.silent(),
    };
  };

  private readonly net = (incarnation: number): Net => ({
    dial: (address, timeoutMs) => connectTo(this, incarnation, address, timeoutMs),
    listen: async (address, accept) => {
      this.listeners.set(address, accept);
      return ok({ close: async () => void this.listeners.delete(address) });
    },
  });

  private readonly httpServer = (incarnation: number): HttpServer => ({
    open: async (address, handler) => {
      if (this.incarnation === incarnation) this.httpHandlers.set(address, handler);
      return ok({ close: async () => void this.httpHandlers.delete(address) });
    },
  });

  /** Serves HTTP at the address, until the machine crashes. */
  readonly serveHttp = (address: string, handler: WebHandler): void => void this.httpHandlers.set(address, handler);

  /** Stops serving HTTP at the address. */
  readonly stopHttp = (address: string): void => void this.httpHandlers.delete(address);

  /**
   * Stops serving HTTP as the program does on exit: accepts no new requests, and waits up to 1 s for open responses to
   * end.
   */
  readonly shutDownHttp = async (): Promise<void> => {
    this.httpHandlers.clear();
    const until = this.world.time + httpShutdownMs;
    while (this.openResponses.size > 0 && this.world.time < until) await this.world.sleep(httpShutdownPollMs, this);
  };

  /** Returns the HTTP client of a process; requests of an incarnation that has ended never resolve. */
  readonly httpClient = (incarnation = this.incarnation): HttpClient => ({
    close: async () => {},
    send: (request) =>
      new Promise((resolve) => {
        if (this.incarnation === incarnation) new SimHttpExchange(this, request, resolve).start();
      }),
  });

  /** Simulates a power loss: ends the process; the given share of the unsynced bytes survives on the disk. */
  readonly kill = (unsyncedShareKept = 0): void => {
    if (!this.isUp) return;
    this.killProcess();
    this.disk.crash(unsyncedShareKept);
    this.disk.unstall();
  };

  /**
   * Ends only the process: the bytes that it wrote stay readable, and unsynced bytes are still lost if the machine
   * loses power later.
   */
  readonly killProcess = (): void => {
    if (!this.isUp) return;
    this.isUp = false;
    this.incarnation += 1;
    this.isFrozen = false;
    this.postponed.length = 0;
    this.listeners.clear();
    this.httpHandlers.clear();
    this.openResponses.clear();
    for (const onCrash of [...this.crashListeners]) onCrash(!this.isVanished);
    this.crashListeners.clear();
  };

  /** Ends the machine without resetting its connections, so that their other ends do not notice. */
  readonly vanish = (): void => {
    this.isVanished = true;
    this.kill();
  };

  /** Starts the machine with the contents of its disk; the disk is no longer full and syncs succeed. */
  readonly boot = (): void => {
    this.isUp = true;
    this.isVanished = false;
    this.incarnation += 1;
    this.disk.faults.isFull = false;
    this.disk.faults.failsSync = false;
  };

  /** Freezes the process: events that come due run when it is thawed. */
  readonly freeze = (): void => {
    this.isFrozen = true;
    this.frozenAt = this.world.time;
  };

  /**
   * Resumes a frozen process and schedules its postponed events.
   *
   * @param stopsMonotonic whether the monotonic clock stood still in the pause, as on a suspended machine
   */
  readonly thaw = (stopsMonotonic = false): void => {
    if (stopsMonotonic && this.isFrozen) this.monotonicPauseMs += this.world.time - (this.frozenAt ?? this.world.time);
    this.isFrozen = false;
    for (const event of this.postponed.splice(0))
      this.world.schedule(this, 0, () => {
        if (!event.isCancelled) event.callback();
      });
  };
}
