/** Sends sample requests to gateways as an external caller, and records the outcome of each. */
import type { HttpClient } from '@martenworks/core-types';
import { CompletionStream, completionBodies } from './completionResponse.js';
import type { SampleRequest } from './sampleDeployments.js';

/**
 * One request of a caller and its outcome so far. Times are milliseconds of the fleet's clock; 0 if not yet reached.
 */
export interface Call {
  readonly requestId: string;
  readonly request: SampleRequest;
  readonly host: string;
  readonly sentAt: number;
  readonly idempotencyKey: string | null;
  outcome: 'open' | 'whole' | 'denied' | 'cut' | 'lost';
  /** The HTTP status; 0 until the response headers arrive. */
  status: number;
  /** The error code of a rejection or of a network error; empty if there is none. */
  code: string;
  /** Whether the request ran according to the response: `yes`, `no` or `unknown`; empty if it does not say. */
  ran: string;
  retryAfter: string | null;
  text: string;
  endedAt: number;
  firstTokenAt: number;
  /** The caller aborted the request before its end. */
  isAborted: boolean;
}

/** How a request is sent; by default without an idempotency key, streamed and without a deadline. */
export interface SendOptions {
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
  /** Requests a single body instead of a stream. */
  readonly isBuffered?: boolean;
}

/** The parts of the fleet that the sender uses. */
export interface CallTarget {
  readonly gatewayHosts: readonly string[];
  readonly now: () => number;
  readonly externalClient: () => HttpClient;
}

type Request = Parameters<HttpClient['send']>[0];
type Body = AsyncIterable<Uint8Array>;

/** Sends calls and records them. */
export class CallSender {
  /** All calls in the order in which they were sent. */
  readonly calls: Call[] = [];
  private sentCount = 0;

  /** @param salt distinguishes the request ids of several senders */
  constructor(
    private readonly target: CallTarget,
    private readonly salt: string,
  ) {}

  /** Sends to the gateway with the given index and returns immediately; the call is updated as the response arrives. */
  readonly send = (request: SampleRequest, gatewayIndex: number, options: SendOptions = {}): Call => {
    const call: Call = {
      requestId: `call-${this.salt}${++this.sentCount}`,
      request,
      host: this.target.gatewayHosts[gatewayIndex] as string,
      sentAt: this.target.now(),
      idempotencyKey: options.idempotencyKey ?? null,
      outcome: 'open',
      status: 0,
      code: '',
      ran: '',
      retryAfter: null,
      text: '',
      endedAt: 0,
      firstTokenAt: 0,
      isAborted: false,
    };
    this.calls.push(call);
    options.signal?.addEventListener('abort', () => (call.isAborted = call.endedAt === 0), { once: true });
    void this.trackOutcome(call, options).then(() => (call.endedAt = this.target.now()));
    return call;
  };

  private readonly requestOf = (call: Call, options: SendOptions): Request => ({
    method: 'POST',
    url: `http://${call.host}:7101/v1/completions`,
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${call.request.key}`,
      'x-request-id': call.requestId,
      ...(call.idempotencyKey === null ? {} : { 'idempotency-key': call.idempotencyKey }),
      ...(options.deadlineMs === undefined ? {} : { 'x-horizon-ms': String(options.deadlineMs) }),
    },
    body: JSON.stringify({
      model: call.request.kind,
      prompt: call.request.prompt,
      max_tokens: call.request.maxTokens,
      stream: options.isBuffered !== true,
    }),
    signal: options.signal ?? new AbortController().signal,
    gate: () => true,
  });

  private readonly trackOutcome = async (call: Call, options: SendOptions): Promise<void> => {
    const response = await this.target.externalClient().send(this.requestOf(call, options));
    if (response.isErr()) {
      call.outcome = 'lost';
      call.code = response.error.code;
      return;
    }
    call.status = response.value.status;
    call.retryAfter = response.value.header('retry-after');
    const isStreamed = call.status === 200 && options.isBuffered !== true;
    await (isStreamed ? this.readStream(call, response.value.body) : this.readBody(call, response.value.body));
  };

  private readonly readStream = async (call: Call, body: Body): Promise<void> => {
    const stream = new CompletionStream(() => {
      if (call.firstTokenAt === 0) call.firstTokenAt = this.target.now();
      call.text = stream.text;
    });
    let isBroken = false;
    try {
      for await (const bytes of body) stream.feed(bytes);
    } catch {
      isBroken = true;
    }
    if (stream.error !== null) call.ran = stream.error.ran;
    call.outcome = stream.isEnded && stream.error === null && !isBroken ? 'whole' : 'cut';
  };

  private readonly readBody = async (call: Call, body: Body): Promise<void> => {
    const decoder = new TextDecoder();
    let text = '';
    try {
      for await (const bytes of body) text += decoder.decode(bytes, { stream: true });
    } catch {
      call.outcome = 'lost';
      return;
    }
    if (call.status === 200) {
      call.text = completionBodies.text(text);
      call.outcome = 'whole';
      return;
    }
    const error = completionBodies.error(text);
    call.outcome = 'denied';
    call.code = error.type;
    call.ran = error.ran;
  };
}
