/** One caller's request in the gateway, and its state machine. */
import type { Rejection } from '@martenworks/core-types';
import type { CompletionPath, CompletionEvent } from '@martenworks/upstream';
import type { Claim } from './claims/claims.js';
import { InvalidTransitionError } from './errors.js';
import type { LaneView, TenantView } from './state/gatewayConfigView.js';

/** A completion request as the caller sent it. */
export interface CompletionRequest {
  readonly requestId: string;
  /** The bearer key; null if the caller sent none. */
  readonly key: string | null;
  readonly path: CompletionPath;
  readonly body: Record<string, unknown>;
  /** Deadline that the caller asked for, in milliseconds from the arrival; null for the tier's default. */
  readonly deadlineMs: number | null;
  readonly idempotencyKey: string | null;
  /** Aborts when the caller closes the connection. */
  readonly signal: AbortSignal;
}

/** A streamed response; `events` are its chunks, as the replica sends them, and how it ended. */
export interface StreamResponse {
  readonly kind: 'stream';
  readonly requestId: string;
  readonly events: AsyncGenerator<CompletionEvent>;
}

/** The response to a caller: a rejection or a stream. */
export type GatewayResponse = Rejection | StreamResponse;

/** The attempt at a replica whose response a request is waiting for. */
export interface ActiveAttempt {
  readonly replica: string;
  readonly incarnation: number;
  /** Called when the replica was removed or restarted. */
  readonly onReplicaRemoved: () => void;
}

/** `unplaced`: in the first stages, or between two attempts; `attempting`: waiting for a replica's first chunk. */
type RequestState = 'unplaced' | 'queued' | 'attempting' | 'relaying' | 'ended';

const transitions: Record<RequestState, readonly RequestState[]> = {
  unplaced: ['queued', 'relaying', 'ended'],
  queued: ['queued', 'attempting', 'ended'],
  attempting: ['unplaced', 'relaying', 'ended'],
  relaying: ['ended'],
  ended: [],
};

/** Isolation scopes of cached prompts: the name of an isolated tenant, or null for the scope that the others share. */
export const isolationScopes = {
  /** The scope of a tenant. */
  ofTenant: (tenant: TenantView): string | null => (tenant.tenant.isolated ? tenant.name : null),

  /** The scope of a request; null while its tenant is not known. */
  of: (request: GatewayRequest): string | null =>
    request.tenant === null ? null : isolationScopes.ofTenant(request.tenant),
};

/** A request, filled in by one stage after another; changes its state only as `transitions` allows. */
export class GatewayRequest {
  /** Hash of the bearer key; empty until the request is admitted. */
  keyHash = '';
  /** The lane, which the caller names in the `model` field. */
  laneName = '';
  /** Estimated length of the prompt in tokens. */
  promptTokens = 0;
  /** Hashes of the prompt's blocks, for lookups in the prefix index. */
  blocks: readonly string[] = [];
  /** The key's tenant, as of the configuration that the request was last checked against. */
  tenant: TenantView | null = null;
  /** The lane, as of the configuration that the request was last checked against. */
  lane: LaneView | null = null;
  /** Time at which the request is rejected if no first chunk has arrived. */
  deadlineAt = Number.POSITIVE_INFINITY;
  /** Attempts made at replicas, including the first. */
  attempts = 0;
  /** Attempts charged to the retry budget. */
  retries = 0;
  /** Whether the request must not run twice; once true, it stays true if the lane's configuration changes. */
  isAtMostOnce = false;
  /** The `retry-after` of the last replica that rejected the request as full, in seconds. */
  retryAfterSeconds: number | null = null;
  /** Whether a replica may have started to run the request. */
  mayHaveRun = false;
  /** Whether the response was relayed to its end. */
  isComplete = false;
  /** The request's claim on its idempotency key; null if it has none. */
  claim: Claim | null = null;
  /** Chunks relayed so far, stored only for a request with a claim. */
  relayedChunks: string[] = [];
  /** Why the gateway truncated the response; null if it did not. */
  truncationCause: string | null = null;
  /** Names of the replicas that failed or rejected the request, which it is not sent to again. */
  readonly avoided = new Set<string>();
  /** Aborted when the request ends or its response is truncated. */
  readonly abortController = new AbortController();
  private state: RequestState = 'unplaced';
  private attempt: ActiveAttempt | null = null;
  private readonly endListeners: (() => void)[] = [];

  constructor(
    /** The request as the caller sent it. */
    readonly completion: CompletionRequest,
    /** Time of arrival on this process's monotonic clock, in milliseconds. */
    readonly arrivedAt: number,
    private readonly respond: (response: GatewayResponse) => void,
  ) {}

  private readonly moveTo = (next: RequestState): void => {
    if (!transitions[this.state].includes(next)) throw new InvalidTransitionError(this.state, next);
    this.state = next;
  };

  /** Whether the request has ended: nothing more is sent to the caller. */
  get isEnded(): boolean {
    return this.state === 'ended';
  }

  /** Whether a response is being streamed to the caller. */
  get isRelaying(): boolean {
    return this.state === 'relaying';
  }

  /** Whether the caller has received a response or the start of one. */
  get hasResponseStarted(): boolean {
    return this.isEnded || this.isRelaying;
  }

  /** The current attempt, if any. */
  get activeAttempt(): ActiveAttempt | null {
    return this.attempt;
  }

  /** Calls the listener when the request ends. */
  readonly onEnd = (listener: () => void): void => void this.endListeners.push(listener);

  /** Records that the request was added to a pool's queue. */
  readonly markQueued = (): void => this.moveTo('queued');

  /** Records that an attempt at a replica starts. */
  readonly startAttempt = (attempt: ActiveAttempt): void => {
    this.moveTo('attempting');
    this.attempt = attempt;
  };

  /** Records that the attempt ended without a response; another may follow. */
  readonly endAttempt = (): void => {
    if (this.state === 'attempting') this.moveTo('unplaced');
    this.attempt = null;
  };

  /** Responds to the caller with a stream of these events. */
  readonly startRelay = (events: AsyncGenerator<CompletionEvent>): void => {
    this.moveTo('relaying');
    this.respond({ kind: 'stream', requestId: this.completion.requestId, events });
  };

  /** Responds with a rejection and ends the request, unless a response has started. */
  readonly reject = (rejection: Rejection): void => {
    if (this.hasResponseStarted) return;
    this.respond(rejection);
    this.end();
  };

  /** Ends the request and calls the listeners; does nothing if it has ended. */
  readonly end = (): void => {
    if (this.isEnded) return;
    this.moveTo('ended');
    this.abortController.abort();
    for (const listener of this.endListeners) listener();
  };

  /** Truncates the response: the caller's stream ends with an error event that contains the cause. */
  readonly truncate = (cause: string): void => {
    this.truncationCause ??= cause;
    this.abortController.abort();
  };
}
