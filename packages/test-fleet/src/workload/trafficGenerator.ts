/** Open-loop traffic with Poisson arrivals: plain requests, and requests with idempotency keys that callers retry. */
import type { Call, CallSender } from './callSender.js';
import { sampleWorkload } from './sampleDeployments.js';
import type { RequestKind, SampleRequest } from './sampleDeployments.js';

const msPerSecond = 1_000;
/** Shares of the requests that are aborted, sent with the prompt of another tenant, or sent with an unknown key. */
const abortShare = 0.02;
const duplicatePromptShare = 0.06;
const unknownKeyShare = 0.01;
const maxAbortDelayMs = 400;
const callerRetryDelayMs = 300;
const maxCallerRetries = 3;
const concurrentDuplicateShare = 0.4;
const maxDuplicateDelayMs = 60;
/** A random value that selects an ordinary request. */
const ordinaryDraw = 0.25;

/** The parts of the run that the generator uses. */
export interface TrafficOptions {
  readonly now: () => number;
  readonly random: () => number;
  readonly after: (delayMs: number, callback: () => void) => void;
  /** Returns the indices of the gateways that are not permanently lost. */
  readonly liveGateways: () => readonly number[];
  /** Called with each key that was never granted to a tenant. */
  readonly onUnknownKey: (key: string) => void;
}

/** Generates traffic; each method starts it and returns immediately. */
export class TrafficGenerator {
  constructor(
    private readonly sender: CallSender,
    private readonly options: TrafficOptions,
  ) {}

  /**
   * Starts ordinary requests to random gateways.
   *
   * @param hasAborts whether to add aborted requests, equal prompts from several tenants and unknown keys
   */
  readonly start = (ratePerSecond: number, durationMs: number, longShare?: number, hasAborts = false): void =>
    this.repeat(ratePerSecond, durationMs, () => this.sendOrdinary(longShare, hasAborts));

  /** Starts requests with idempotency keys for once-only lanes; callers retry until a response is complete. */
  readonly startKeyed = (ratePerSecond: number, durationMs: number): void =>
    this.repeat(ratePerSecond, durationMs, this.sendKeyed);

  private readonly repeat = (ratePerSecond: number, durationMs: number, send: () => void): void => {
    const { now, random, after } = this.options;
    const endAt = now() + durationMs;
    const next = (): void => {
      if (now() >= endAt) return;
      send();
      after((-Math.log(1 - random()) * msPerSecond) / ratePerSecond, next);
    };
    next();
  };

  private readonly randomGateway = (): number => {
    const gateways = this.options.liveGateways();
    return gateways[Math.floor(this.options.random() * gateways.length)] as number;
  };

  private readonly sendOrdinary = (longShare: number | undefined, hasAborts: boolean): void => {
    const { random, after } = this.options;
    const request = sampleWorkload.request(random, this.sender.calls.length, longShare);
    const draw = hasAborts ? random() : ordinaryDraw;
    const abortController = new AbortController();
    if (draw < abortShare) after(random() * maxAbortDelayMs, () => abortController.abort());
    this.sender.send(request, this.randomGateway(), { signal: abortController.signal });
    if (draw > 1 - duplicatePromptShare) this.sendDuplicatePrompt(request);
    if (draw > 0.5 && draw < 0.5 + unknownKeyShare) this.sendUnknownKey(request);
  };

  private readonly sendDuplicatePrompt = ({ kind, prompt, maxTokens }: SampleRequest): void => {
    const other = sampleWorkload.request(this.options.random, 0, 0);
    this.sender.send({ ...other, kind, prompt, maxTokens }, this.randomGateway());
  };

  private readonly sendUnknownKey = (request: SampleRequest): void => {
    const key = `never-granted-${this.sender.calls.length}`;
    this.options.onUnknownKey(key);
    this.sender.send({ ...request, key, tenant: 'nobody' }, this.randomGateway());
  };

  private readonly sendKeyed = (): void => {
    const { random, after } = this.options;
    const sample = sampleWorkload.request(random, this.sender.calls.length, 0);
    const kind: RequestKind = random() < 0.5 ? 'book' : 'confirm';
    const request = { ...sample, kind };
    const idempotencyKey = `order-${this.sender.calls.length}`;
    const send = (): Call => this.sender.send(request, this.randomGateway(), { idempotencyKey });
    this.retry(send, send(), maxCallerRetries);
    if (random() < concurrentDuplicateShare) after(random() * maxDuplicateDelayMs, () => void send());
  };

  private readonly retry = (send: () => Call, call: Call, retriesLeft: number): void => {
    this.options.after(callerRetryDelayMs, () => {
      if (call.outcome === 'open') return this.retry(send, call, retriesLeft);
      if (call.outcome === 'whole' || retriesLeft === 0) return;
      this.retry(send, send(), retriesLeft - 1);
    });
  };
}
