/** Stateless rules for when an attempt is abandoned and whether the request may be sent again. */
import type { ResponseMetadata, Route } from '@martenworks/core-types';
import type { RouteView } from '@martenworks/route-table';

const latencyTargetShare = 0.7;
const costFactor = 3;
const costSlackMs = 60;
const typicalFirstChunkFactor = 4;
const idleTimeoutGaps = 5;
const idleTimeoutShare = 0.6;
const defaultEventGapMs = 1_000;

/**
 * Statuses that guarantee to the caller that a request has not run and never will. RFC 9110 leaves that open; the
 * caller-facing API does not.
 */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Why the edge stops an attempt. */
export type StopCause =
  | 'deadline exceeded'
  | 'idle timeout'
  | 'replica removed'
  | 'caller disconnected'
  | 'weights superseded';

/**
 * How an attempt ended. `not run` only if no byte was sent or the replica itself reported it; `wasDelivered` is true in
 * the latter case. `cancelled`: the caller has disconnected. `unread`: it did not read the response in time.
 */
export type AttemptOutcome =
  | { readonly kind: 'complete' }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'unread'; readonly cause: string }
  | { readonly kind: 'not run'; readonly wasDelivered: boolean; readonly retryAfterMs: number | null }
  | { readonly kind: 'may have run'; readonly cause: string };

/** What to do with a response, by its head; with `isReplicaFailure` it counts as a failure of the replica. */
type HeadVerdict =
  | { readonly kind: 'rejected' }
  | { readonly kind: 'forward'; readonly isSuccess: boolean; readonly isFailure: boolean }
  | { readonly kind: 'discard'; readonly cause: string; readonly isReplicaFailure: boolean };

interface HeadCircumstances {
  readonly hasResponseStarted: boolean;
  /** Whether the body may follow what the caller has been sent. */
  readonly isContinuation: boolean;
  readonly mayTryAnother: boolean;
}

const headVerdict = (
  status: number,
  head: ResponseMetadata,
  { hasResponseStarted, isContinuation, mayTryAnother }: HeadCircumstances,
): HeadVerdict => {
  if (head.isForRequest && head.isNotRun) return { kind: 'rejected' };
  const isSuccess = status >= 200 && status < 300;
  const isFailure = status >= 500;
  const discard = (cause: string, isReplicaFailure = true): HeadVerdict => ({
    kind: 'discard',
    cause,
    isReplicaFailure,
  });
  if (!head.isForRequest || (isSuccess && !head.isSealed))
    return discard('the response does not belong to this request');
  if (isFailure && (hasResponseStarted || mayTryAnother)) return discard(`the replica responded with status ${status}`);
  if (!isSuccess && hasResponseStarted)
    return discard(`the replica responded to the resumption with status ${status}`, false);
  if (!isContinuation) return discard('the response to the resumption is of another kind', false);
  if (notRunStatuses.has(status))
    return discard(`the replica responded with status ${status} without stating that the request was not run`);
  return { kind: 'forward', isSuccess, isFailure };
};

/**
 * Inputs of the timeout for the first chunk, in milliseconds: the route's latency target, the placement's estimated cost,
 * and the pool's typical time to the first chunk.
 */
export interface FirstChunkEstimates {
  readonly targetMs: number;
  readonly costMs: number;
  readonly typicalFirstChunkMs: number;
}

/**
 * Retry rules. A request may be sent again only if no replica ran it or its route allows repetition (RFC 9110, section
 * 9.2.2, decides by method; here the route does).
 */
export const retryPolicy = {
  headVerdict,

  /** Milliseconds until the first chunk is due; after that the replica counts as unresponsive. */
  firstChunkTimeoutMs: ({ targetMs, costMs, typicalFirstChunkMs }: FirstChunkEstimates): number =>
    Math.max(
      targetMs * latencyTargetShare,
      costMs * costFactor + costSlackMs,
      typicalFirstChunkMs * typicalFirstChunkFactor,
    ),

  /** Milliseconds that a stream may pause before its replica counts as unresponsive. */
  streamIdleTimeoutMs: ({ maxEventGapMs: gapMs }: Route, remainingMs: number): number =>
    Math.min(
      (gapMs ?? defaultEventGapMs) * idleTimeoutGaps,
      Math.max(remainingMs * idleTimeoutShare, gapMs ?? defaultEventGapMs),
    ),

  /**
   * Whether a request whose last attempt may have run may be sent again: never one that must run at most once, and none
   * whose response has started and can't be continued.
   */
  mayRetry: (view: RouteView, isContinuable: boolean): boolean => view.isRetryable && isContinuable,
};
