/** Errors of the edge: why a request isn't admitted, and why its body can't be read. */

/** Why a request's body can't be read: it exceeds the limit, or the caller disconnected. */
export type BodyError = { readonly code: 'BODY_TOO_LARGE' } | { readonly code: 'CALLER_GONE' };

/** Stable codes for the reasons why a request isn't admitted. */
type AdmissionErrorCode =
  | 'NOT_READY'
  | 'ROUTE_NOT_FOUND'
  | 'KEY_NOT_GRANTED'
  | 'HEADERS_TOO_LARGE'
  | 'MALFORMED_HEADERS'
  | 'BODY_TOO_LARGE';

/** Why a request isn't admitted, as sent to the caller. */
export interface AdmissionError {
  readonly code: AdmissionErrorCode;
  /** HTTP status of the rejection. */
  readonly status: number;
  readonly message: string;
  /** Milliseconds after which the caller may retry; null where a retry is pointless. */
  readonly retryAfterMs: number | null;
  /** True if the connection is closed after the rejection, since its unread bytes can't be skipped. */
  readonly closesConnection: boolean;
}

/** The caller has disconnected, so that no response is needed. */
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

/** The two body errors as shared values. */
export const bodyErrors: { readonly tooLarge: BodyError; readonly callerDisconnected: BodyError } = {
  tooLarge: { code: 'BODY_TOO_LARGE' },
  callerDisconnected: { code: 'CALLER_GONE' },
};

/** Admission errors with the statuses and messages sent to callers. */
export const admissionErrors = {
  notReady: rejection('NOT_READY', 503, 'edge has no current configuration', {
    retryAfterMs: notReadyRetryAfterMs,
  }),
  routeNotFound: rejection('ROUTE_NOT_FOUND', 404, 'no route matches the request'),
  keyNotGranted: rejection('KEY_NOT_GRANTED', 401, 'API key missing or unknown'),
  headersTooLarge: rejection('HEADERS_TOO_LARGE', 431, 'request headers too large', { closesConnection: true }),
  bodyTooLarge: rejection('BODY_TOO_LARGE', 413, 'request body too large', { closesConnection: true }),
  /** `detail` names the header that is malformed. */
  malformedHeaders: (detail: string): AdmissionError => rejection('MALFORMED_HEADERS', 400, detail),
};
