/** One caller's request on its way through the gateway, with its state machine. */
import type { Rejection } from '@martenworks/core-types';
import type { CompletionPath, CompletionEvent } from '@martenworks/upstream';
import type { Claim } from './claims/claims.js';
import { InvalidTransitionError } from './errors.js';
import type { LaneView, TenantView } from './state/gatewayConfigView.js';

/** A completion request as the caller sent it. */
export interface CompletionRequest {
  readonly requestId: string;
  /** The bearer key, or null when none was given. */
  readonly key: string | null;
  readonly path: CompletionPath;
  readonly body: Record<string, unknown>;
  /** The caller's own deadline in milliseconds, or null for the tier's. */
  readonly deadlineMs: number | null;
  readonly idempotencyKey: string | null;
  /** Aborted when the caller closes the connection. */
  readonly signal: AbortSignal;
}

/** A response whose pieces come as the replica makes them. */
export interface StreamResponse {
  readonly kind: 'stream';
  readonly requestId: string;
  readonly events: AsyncGenerator<CompletionEvent>;
}

/** What a caller gets: a rejection or a stream. */
export type GatewayResponse = Rejection | StreamResponse;

/** The attempt at a replica that a request is waiting for. */
export interface ActiveAttempt {
  readonly replica: string;
  readonly incarnation: number;
  /** Called when the replica is gone or was started anew. */
  readonly onReplicaRemoved: () => void;
}

type RequestState = 'entered' | 'waiting' | 'out' | 'relaying' | 'ended';

const transitions: Record<RequestState, readonly RequestState[]> = {
  entered: ['waiting', 'relaying', 'ended'],
  waiting: ['waiting', 'out', 'ended'],
  out: ['entered', 'relaying', 'ended'],
  relaying: ['ended'],
  ended: [],
};

/** The isolation scope of cached prompts: the tenant's name if it is isolated, null for the shared scope. */
export const isolationScopes = {
  /** The scope of a tenant. */
  ofTenant: (tenant: TenantView): string | null => (tenant.tenant.isolated ? tenant.name : null),

  /** The scope of a request; null as long as it has no tenant. */
  of: (request: GatewayRequest): string | null =>
    request.tenant === null ? null : isolationScopes.ofTenant(request.tenant),
};

/** Filled by the stages in turn; moves between its states only along `transitions`. */
export class GatewayRequest {
  /** Hash of the bearer key, once admitted. */
  keyHash = '';
  /** The lane that the caller named as its model. */
  laneName = '';
  /** Estimated length of the prompt in tokens. */
  promptTokens = 0;
  /** Hashes of the prompt's blocks, for the prefix index. */
  blocks: readonly string[] = [];
  /** The key's tenant, as of the configuration that the request last passed. */
  tenant: TenantView | null = null;
  /** The lane, as of the configuration that the request last passed. */
  lane: LaneView | null = null;
  /** When the caller gets a rejection at the latest, unless a first piece came. */
  deadlineAt = Number.POSITIVE_INFINITY;
  /** Attempts made at replicas, the first included. */
  attempts = 0;
  /** Attempts paid by the retry budget. */
  retries = 0;
  /** Whether the lane forbids to run the request twice. */
  isAtMostOnce = false;
  /** The `retry-after` of the last busy replica, in seconds. */
  retryAfterSeconds: number | null = null;
  /** Whether a replica may have started to run it. */
  mayHaveRun = false;
  /** Whether the whole response was relayed. */
  isComplete = false;
  /** The claim on its idempotency key, if it holds one. */
  claim: Claim | null = null;
  /** The pieces relayed so far, kept only for a claimed request. */
  relayedChunks: string[] = [];
  /** Why the relay was cut, if it was. */
  truncationCause: string | null = null;
  /** Names of replicas that failed this request; it does not go there again. */
  readonly avoided = new Set<string>();
  /** Aborted when the request ends or its relay is cut. */
  readonly abortController = new AbortController();
  private state: RequestState = 'entered';
  private attempt: ActiveAttempt | null = null;
  private readonly endListeners: (() => void)[] = [];

  constructor(
    /** What the caller sent. */
    readonly completion: CompletionRequest,
    /** When it arrived, on this process's monotonic clock in milliseconds. */
    readonly arrivedAt: number,
    private readonly respond: (response: GatewayResponse) => void,
  ) {}

  private readonly moveTo = (next: RequestState): void => {
    if (!transitions[this.state].includes(next)) throw new InvalidTransitionError(this.state, next);
    this.state = next;
  };

  /** Whether nothing more will be sent to the caller. */
  get isEnded(): boolean {
    return this.state === 'ended';
  }

  /** Whether the caller is receiving a stream. */
  get isRelaying(): boolean {
    return this.state === 'relaying';
  }

  /** Whether the caller got a response, at least its start. */
  get hasResponseStarted(): boolean {
    return this.isEnded || this.isRelaying;
  }

  /** The attempt that is out, if any. */
  get activeAttempt(): ActiveAttempt | null {
    return this.attempt;
  }

  /** Calls the listener when the request ends. */
  readonly onEnd = (listener: () => void): void => void this.endListeners.push(listener);

  /** The request is put into a pool's queue. */
  readonly markQueued = (): void => this.moveTo('waiting');

  /** The request is sent to a replica. */
  readonly startAttempt = (attempt: ActiveAttempt): void => {
    this.moveTo('out');
    this.attempt = attempt;
  };

  /** The attempt came to nothing; another may follow. */
  readonly endAttempt = (): void => {
    if (this.state === 'out') this.moveTo('entered');
    this.attempt = null;
  };

  /** The caller gets these pieces. */
  readonly startRelay = (events: AsyncGenerator<CompletionEvent>): void => {
    this.moveTo('relaying');
    this.respond({ kind: 'stream', requestId: this.completion.requestId, events });
  };

  /** The caller gets this rejection, unless it got a response already. */
  readonly reject = (rejection: Rejection): void => {
    if (this.hasResponseStarted) return;
    this.respond(rejection);
    this.end();
  };

  /** Ends the request and calls the listeners, once. */
  readonly end = (): void => {
    if (this.isEnded) return;
    this.moveTo('ended');
    this.abortController.abort();
    for (const listener of this.endListeners) listener();
  };

  /** Cuts the relay: the caller's stream ends with an error event that tells the cause. */
  readonly truncate = (cause: string): void => {
    this.truncationCause ??= cause;
    this.abortController.abort();
  };
}
