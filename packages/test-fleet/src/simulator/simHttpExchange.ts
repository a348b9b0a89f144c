/** One simulated HTTP request and its response, with the routes in which machines and links may fail under it. */
import type { HttpClient, HttpClientResponse, NetworkError } from '@martenworks/core-types';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { hostOf, retransmitMs } from './simConnection.js';
import type { SimulatedMachine, Simulation } from './simulation.js';

type HttpClientRequest = Parameters<HttpClient['send']>[0];

const connectTimeoutMs = 1_000;

const pairsOf = (list: readonly string[]): [string, string][] =>
  list.flatMap((name, at): [string, string][] => (at % 2 === 0 ? [[name, list[at + 1] ?? '']] : []));

const aborted = (signal: AbortSignal): Promise<void> =>
  new Promise((wake) => {
    if (signal.aborted) wake();
    else signal.addEventListener('abort', () => wake(), { once: true });
  });

const resetError = (): Error => Object.assign(new Error('reset'), { code: 'ECONNRESET' });

/** Lives from the request's start until its body ended or either machine crashed. */
export class SimHttpExchange {
  private readonly world: Simulation;
  private readonly url: URL;
  private readonly target: SimulatedMachine;
  private readonly targetIncarnation: number;
  /** Aborts the handler and the reading of its response. */
  private readonly handlerAbort = new AbortController();
  private readonly callerAbort = new AbortController();
  private isSettled = false;
  private isConnected = false;
  /** The target vanished: its response neither goes on nor breaks off. */
  private isUnresponsive = false;

  constructor(
    private readonly caller: SimulatedMachine,
    private readonly request: HttpClientRequest,
    private readonly resolve: (outcome: Result<HttpClientResponse, NetworkError>) => void,
  ) {
    this.world = caller.world;
    this.url = new URL(request.url);
    this.target = this.world.machine(hostOf(this.url.host));
    this.targetIncarnation = this.target.incarnation;
  }

  /** Connects and sends; the outcome settles in virtual time. */
  readonly start = (): void => {
    const { world, caller, target, request } = this;
    if (request.signal.aborted) {
      this.fail('ABORTED', true);
      return;
    }
    request.signal.addEventListener('abort', this.abandon, { once: true });
    world.schedule(caller, connectTimeoutMs, () => {
      if (!this.isConnected) this.fail('ETIMEDOUT', true);
    });
    if (!target.isUp && !target.isVanished) {
      world.schedule(caller, this.latencyOut(), () => this.fail('ECONNREFUSED', true));
      return;
    }
    if (world.isBlocked(caller.host, target.host) || this.isReturnPathBlocked() || !target.isUp) return;
    const roundTripMs = this.latencyOut() + this.latencyBack();
    world.schedule(caller, roundTripMs, this.connected);
  };

  private readonly latencyOut = (): number => this.world.latency(this.caller.host, this.target.host);
  private readonly latencyBack = (): number => this.world.latency(this.target.host, this.caller.host);
  private readonly isReturnPathBlocked = (): boolean => this.world.isBlocked(this.target.host, this.caller.host);
  private readonly isTargetSame = (): boolean => this.target.incarnation === this.targetIncarnation;

  private readonly finish = (outcome: Result<HttpClientResponse, NetworkError>): void => {
    if (this.isSettled) return;
    this.isSettled = true;
    if (outcome.isErr()) this.request.signal.removeEventListener('abort', this.abandon);
    this.resolve(outcome);
  };

  private readonly fail = (code: string, isUnsent: boolean): void => this.finish(err({ kind: 'net', code, isUnsent }));

  private readonly abandon = (): void => {
    this.handlerAbort.abort();
    this.callerAbort.abort();
    this.fail('ABORTED', false);
  };

  private readonly connected = (): void => {
    if (this.isSettled) return;
    this.isConnected = this.isTargetSame() && this.target.isUp;
    if (!this.isConnected) this.fail('ECONNREFUSED', true);
    else if (!this.request.gate()) this.fail('GATED', true);
    else this.send();
  };

  private readonly send = (): void => {
    this.target.crashListeners.add(this.targetCrashed);
    this.caller.crashListeners.add(this.callerCrashed);
    this.world.schedule(this.target, this.latencyOut(), this.handle);
  };

  private readonly targetCrashed = (isReset: boolean): void => {
    this.isUnresponsive = !isReset;
    this.handlerAbort.abort();
    if (isReset)
      this.world.schedule(this.caller, this.latencyBack(), () => {
        this.handlerAbort.abort();
        this.fail('ECONNRESET', false);
      });
  };

  private readonly callerCrashed = (): void => this.handlerAbort.abort();

  private readonly ended = (): void => {
    this.target.openResponses.delete(this.ended);
    this.target.crashListeners.delete(this.targetCrashed);
    this.caller.crashListeners.delete(this.callerCrashed);
    this.request.signal.removeEventListener('abort', this.abandon);
  };

  private readonly handle = (): void => {
    const handler = this.target.handlerAt(this.url.host);
    if (handler === undefined) {
      this.world.schedule(this.caller, this.latencyBack(), () => this.fail('ECONNREFUSED', true));
      return;
    }
    this.target.openResponses.add(this.ended);
    void Promise.resolve(handler(this.receivedRequest())).then((response) => {
      if (this.isTargetSame() && this.target.isUp) this.sendHead(response);
    });
  };

  private readonly receivedRequest = (): Request => {
    const { method, headers, body } = this.request;
    const { host, pathname, search } = this.url;
    return new Request(`http://${host}${pathname}${search}`, {
      method,
      headers: Array.isArray(headers) ? pairsOf(headers as string[]) : (headers as Record<string, string>),
      signal: this.handlerAbort.signal,
      ...(body === null ? {} : { body: body as string }),
    });
  };

  private readonly sendHead = (response: Response): void => {
    if (this.isReturnPathBlocked()) this.world.schedule(this.target, retransmitMs, () => this.sendHead(response));
    else this.world.schedule(this.caller, this.latencyBack(), () => this.finish(ok(this.receivedResponse(response))));
  };

  private readonly receivedResponse = (response: Response): HttpClientResponse => ({
    status: response.status,
    header: (name) => response.headers.get(name),
    headers: () => [...response.headers].flat(),
    body: this.bodyOf(response),
  });

  /** Resolves once a piece of the body has crossed the network; false where it never will. */
  private readonly transmitChunk = (): Promise<boolean> =>
    new Promise((resolve) => {
      const leave = (): void => {
        if (this.handlerAbort.signal.aborted) resolve(false);
        else if (this.isReturnPathBlocked()) this.world.schedule(null, retransmitMs, leave);
        else
          this.world.schedule(this.caller, this.latencyBack(), () =>
            resolve(!this.handlerAbort.signal.aborted || this.isTargetSame()),
          );
      };
      leave();
    });

  private readonly bodyOf = async function* (this: SimHttpExchange, response: Response): AsyncGenerator<Uint8Array> {
    const reader = response.body?.getReader();
    if (reader === undefined) return this.ended();
    const { signal } = this.handlerAbort;
    const cancel = (): void => void reader.cancel().catch(() => {});
    signal.addEventListener('abort', cancel, { once: true });
    const broken = aborted(signal).then((): 'broken' => 'broken');
    let isDone = false;
    try {
      for (;;) {
        const read = reader.read();
        read.catch(() => {});
        const next = signal.aborted ? 'broken' : await Promise.race([read, broken]);
        if (this.isUnresponsive) await aborted(this.callerAbort.signal);
        if (next === 'broken' || !this.isTargetSame() || !(await this.transmitChunk())) throw resetError();
        isDone = next.done;
        if (next.done) return;
        yield next.value;
      }
    } finally {
      if (!isDone) cancel();
      this.ended();
    }
  };
}
