/** When an attempt is given up and what may follow it, as rules without state. */
import type { ResponseMetadata, Route } from '@martenworks/core-types';
import type { RouteView } from '@martenworks/route-table';

const patienceShare = 0.7;
const patienceFactor = 3;
const patienceSlackMs = 60;
const typicalFactor = 4;
const silenceGaps = 5;
const silenceShare = 0.6;
const usualGapMs = 1_000;

/**
 * To a caller these promise that a request has not run and never will (RFC 9110 leaves it open; the callers' wire does
 * not).
 */
const promises = new Set([408, 421, 429, 503]);

/** Why an attempt is stopped from this side. */
export type StopCause = 'horizon' | 'silent' | 'gone' | 'caller left' | 'old weights';

/**
 * How an attempt ended. `not run` only if no byte was sent or the replica said so itself; `isArrival` tells that it
 * counts among the replicas that one request may go to. `over`: nobody waits for an answer any more.
 */
export type AttemptOutcome =
  | { readonly kind: 'whole' }
  | { readonly kind: 'over' }
  | { readonly kind: 'not run'; readonly isArrival: boolean; readonly retryAfterMs: number | null }
  | { readonly kind: 'may have run'; readonly cause: string };

/** What an answer's head leads to; with `holdsAgainst` it counts as a failure of the replica. */
type HeadVerdict =
  | { readonly kind: 'connection rejected' }
  | { readonly kind: 'pass on'; readonly isSuccess: boolean; readonly isFailure: boolean }
  | { readonly kind: 'drop'; readonly cause: string; readonly holdsAgainst: boolean };

interface HeadCircumstances {
  readonly hasReply: boolean;
  readonly mayTryAnother: boolean;
}

const headVerdict = (
  status: number,
  head: ResponseMetadata,
  { hasReply, mayTryAnother }: HeadCircumstances,
): HeadVerdict => {
  if (head.isForRequest && head.isNotRun) return { kind: 'connection rejected' };
  const isSuccess = status >= 200 && status < 300;
  const isFailure = status >= 500;
  const drop = (cause: string, holdsAgainst = true): HeadVerdict => ({ kind: 'drop', cause, holdsAgainst });
  if (!head.isForRequest || (isSuccess && !head.isSealed)) return drop("the answer is not this request's");
  if (isFailure && (hasReply || mayTryAnother)) return drop(`the replica answered ${status}`);
  if (!isSuccess && hasReply) return drop(`the replica answered ${status} to a resumption`, false);
  if (promises.has(status)) return drop(`the replica answered ${status} and did not say that it had not run it`);
  return { kind: 'pass on', isSuccess, isFailure };
};

/**
 * What the time allowed for a first piece depends on, all in milliseconds: the route's latency target, the placement's
 * estimated cost, and the pool's typical time to a first piece.
 */
export interface FirstPatience {
  readonly targetMs: number;
  readonly costMs: number;
  readonly typicalFirstMs: number;
}

/**
 * The rules of retries. A request may be sent again only where no replica ran it or its route allows repetition (RFC
 * 9110, 9.2.2, for methods; here by route).
 */
export const retryPolicy = {
  headVerdict,

  /** How long a first piece may take, in milliseconds, before its replica counts as silent. */
  firstTimeoutMs: ({ targetMs, costMs, typicalFirstMs }: FirstPatience): number =>
    Math.max(targetMs * patienceShare, costMs * patienceFactor + patienceSlackMs, typicalFirstMs * typicalFactor),

  /** How long a pause within a stream may be, in milliseconds, before its replica counts as silent. */
  gapTimeoutMs: ({ maxEventGapMs: gapMs }: Route, leftMs: number): number =>
    Math.min((gapMs ?? usualGapMs) * silenceGaps, Math.max(leftMs * silenceShare, gapMs ?? usualGapMs)),

  /** Whether a request whose last attempt may have run may be sent again: a call that runs at most once never is. */
  mayGoOn: (view: RouteView, hasReply: boolean, isResumable: boolean): boolean =>
    hasReply ? view.route.isResumable && isResumable : view.mayRepeat,
};
