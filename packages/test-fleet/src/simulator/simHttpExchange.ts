/** One simulated HTTP request and its response, including failures of the machines and links involved. */
import type { HttpClient, HttpClientResponse, NetworkError } from '@martenworks/core-types';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { hostOf, retransmitMs } from './simConnection.js';
import type { SimulatedMachine, Simulation } from './simulation.js';

type HttpClientRequest = Parameters<HttpClient['send']>[0];

const connectTimeoutMs = 1_000;

const headerPairs = (flat: readonly string[]): [string, string][] =>
  flat.flatMap((name, at): [string, string][] => (at % 2 === 0 ? [[name, flat[at + 1] ?? '']] : []));

const aborted = (signal: AbortSignal): Promise<void> =>
  new Promise((wake) => {
    if (signal.aborted) wake();
    else signal.addEventListener('abort', () => wake(), { once: true });
  });

const resetError = (): Error => Object.assign(new Error('reset'), { code: 'ECONNRESET' });

/** Lasts from the start of the request until the response body ends or either machine crashes. */
export class SimHttpExchange {
  private readonly world: Simulation;
  private readonly url: URL;
  private readonly target: SimulatedMachine;
  private readonly targetIncarnation: number;
  /** Aborts the handler and the reading of its response body. */
  private readonly handlerAbort = new AbortController();
  private readonly callerAbort = new AbortController();
  private isSettled = false;
  private isConnected = false;
  /** The target vanished: its response neither continues nor fails. */
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

  /** Connects and sends the request; the outcome resolves in virtual time. */
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
    world.schedule(caller, roundTripMs, this.onConnected);
  };

  private readonly latencyOut = (): number => this.world.latency(this.caller.host, this.target.host);
  private readonly latencyBack = (): number => this.world.latency(this.target.host, this.caller.host);
  private readonly isReturnPathBlocked = (): boolean => this.world.isBlocked(this.target.host, this.caller.host);
  private readonly isSameIncarnation = (): boolean => this.target.incarnation === this.targetIncarnation;

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

  private readonly onConnected = (): void => {
    if (this.isSettled) return;
    this.isConnected = this.isSameIncarnation() && this.target.isUp;
    if (!this.isConnected) this.fail('ECONNREFUSED', true);
    else if (!this.request.gate()) this.fail('GATED', true);
    else this.send();
  };

  private readonly send = (): void => {
    this.target.crashListeners.add(this.onTargetCrash);
    this.caller.crashListeners.add(this.onCallerCrash);
    this.world.schedule(this.target, this.latencyOut(), this.handle);
  };

  private readonly onTargetCrash = (isReset: boolean): void => {
    this.isUnresponsive = !isReset;
    this.handlerAbort.abort();
    if (isReset)
      this.world.schedule(this.caller, this.latencyBack(), () => {
        this.handlerAbort.abort();
        this.fail('ECONNRESET', false);
      });
  };

  private readonly onCallerCrash = (): void => this.handlerAbort.abort();

  private readonly onEnded = (): void => {
    this.target.openResponses.delete(this.onEnded);
    this.target.crashListeners.delete(this.onTargetCrash);
    this.caller.crashListeners.delete(this.onCallerCrash);
    this.request.signal.removeEventListener('abort', this.abandon);
  };

  private readonly handle = (): void => {
    const handler = this.target.handlerAt(this.url.host);
    if (handler === undefined) {
      this.world.schedule(this.caller, this.latencyBack(), () => this.fail('ECONNREFUSED', true));
      return;
    }
    this.target.openResponses.add(this.onEnded);
    void Promise.resolve(handler(this.receivedRequest())).then((response) => {
      if (this.isSameIncarnation() && this.target.isUp) this.sendHead(response);
    });
  };

  private readonly receivedRequest = (): Request => {
    const { method, headers, body } = this.request;
    const { host, pathname, search } = this.url;
    return new Request(`http://${host}${pathname}${search}`, {
      method,
      headers: Array.isArray(headers) ? headerPairs(headers as string[]) : (headers as Record<string, string>),
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

  /** Resolves to true once a chunk of the body has crossed the network, and to false if it never will. */
  private readonly transmitChunk = (): Promise<boolean> =>
    new Promise((resolve) => {
      const attempt = (): void => {
        if (this.handlerAbort.signal.aborted) resolve(false);
        else if (this.isReturnPathBlocked()) this.world.schedule(null, retransmitMs, attempt);
        else
          this.world.schedule(this.caller, this.latencyBack(), () =>
            resolve(!this.handlerAbort.signal.aborted || this.isSameIncarnation()),
          );
      };
      attempt();
    });

  private readonly bodyOf = async function* (this: SimHttpExchange, response: Response): AsyncGenerator<Uint8Array> {
    const reader = response.body?.getReader();
    if (reader === undefined) return this.onEnded();
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
        if (next === 'broken' || !this.isSameIncarnation() || !(await this.transmitChunk())) throw resetError();
        isDone = next.done;
        if (next.done) return;
        yield next.value;
      }
    } finally {
      if (!isDone) cancel();
      this.onEnded();
    }
  };
}
