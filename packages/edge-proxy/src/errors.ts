/** Errors of the edge: why a caller's request isn't admitted, and why its body can't be read. */

/** Why a request's body can't be read: longer than the limit, or its caller closed the connection. */
export type BodyError = { readonly code: 'BODY_TOO_LARGE' } | { readonly code: 'CALLER_GONE' };

/** Stable names of the reasons for which a request isn't admitted. */
type AdmissionErrorCode =
  | 'NOT_READY'
  | 'ROUTE_NOT_FOUND'
  | 'KEY_NOT_GRANTED'
  | 'HEADERS_TOO_LARGE'
  | 'MALFORMED_HEADERS'
  | 'BODY_TOO_LARGE';

/** A request that isn't admitted, as its caller is told. */
export interface AdmissionError {
  readonly code: AdmissionErrorCode;
  /** HTTP status of the rejection. */
  readonly status: number;
  readonly message: string;
  /** Milliseconds after which the caller may retry; null where a retry is of no use. */
  readonly retryAfterMs: number | null;
  /** True if the connection is closed after the rejection, since its unread bytes can't be skipped. */
  readonly closesConnection: boolean;
}

/** Nobody is left who waits for an answer. */
export interface CallerDisconnected {
  readonly code: 'CALLER_GONE';
}

const notReadyRetryAfterMs = 250;

const rejection = (
  code: AdmissionErrorCode,
  status: number,
  message: string,
  more: Partial<Pick<AdmissionError, 'retryAfterMs' | 'closesConnection'>> = {},
): AdmissionError => ({ code, status, message, retryAfterMs: null, closesConnection: false, ...more });

/** The two body errors, as values to compare and return. */
export const bodyErrors: { readonly tooLarge: BodyError; readonly callerDisconnected: BodyError } = {
  tooLarge: { code: 'BODY_TOO_LARGE' },
  callerDisconnected: { code: 'CALLER_GONE' },
};

/** The rejections with the statuses and messages that callers get. */
export const admissionErrors = {
  notReady: rejection('NOT_READY', 503, 'this front does not know yet what is in force', {
    retryAfterMs: notReadyRetryAfterMs,
  }),
  routeNotFound: rejection('ROUTE_NOT_FOUND', 404, 'no way leads there'),
  keyNotGranted: rejection('KEY_NOT_GRANTED', 401, 'the key is not granted'),
  headersTooLarge: rejection('HEADERS_TOO_LARGE', 431, 'the headers are too large', { closesConnection: true }),
  bodyTooLarge: rejection('BODY_TOO_LARGE', 413, 'the body is too large', { closesConnection: true }),
  /** `detail` tells which header is wrong. */
  malformedHeaders: (detail: string): AdmissionError => rejection('MALFORMED_HEADERS', 400, detail),
};
