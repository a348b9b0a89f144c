/** Errors of the edge: why a request isn't admitted. */
import type { BodyReadError } from '@martenworks/server-limits';

/** Stable codes for the reasons why a request isn't admitted. */
type AdmissionErrorCode =
  | 'NOT_READY'
  | 'ROUTE_NOT_FOUND'
  | 'KEY_NOT_GRANTED'
  | 'HEADERS_TOO_LARGE'
  | 'MALFORMED_HEADERS'
  | 'BODY_TOO_LARGE'
  | 'NO_ROOM'
  | 'BODY_STALLED';

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
const noRoomRetryAfterMs = 250;
const bodyStalledRetryAfterMs = 250;

const rejection = (
  code: AdmissionErrorCode,
  status: number,
  message: string,
  more: Partial<Pick<AdmissionError, 'retryAfterMs' | 'closesConnection'>> = {},
): AdmissionError => ({ code, status, message, retryAfterMs: null, closesConnection: false, ...more });

/** Admission errors with the statuses and messages sent to callers. */
export const admissionErrors = {
  notReady: rejection('NOT_READY', 503, 'edge has no current configuration', {
    retryAfterMs: notReadyRetryAfterMs,
  }),
  routeNotFound: rejection('ROUTE_NOT_FOUND', 404, 'no route matches the request'),
  keyNotGranted: rejection('KEY_NOT_GRANTED', 401, 'API key missing or unknown'),
  headersTooLarge: rejection('HEADERS_TOO_LARGE', 431, 'request headers too large', { closesConnection: true }),
  bodyTooLarge: rejection('BODY_TOO_LARGE', 413, 'request body too large', { closesConnection: true }),
  noRoom: rejection('NO_ROOM', 503, 'the edge has no room for the request', {
    retryAfterMs: noRoomRetryAfterMs,
    closesConnection: true,
  }),
  bodyStalled: rejection('BODY_STALLED', 408, 'the request body paused for too long', {
    retryAfterMs: bodyStalledRetryAfterMs,
    closesConnection: true,
  }),
  /** `detail` names the header that is malformed. */
  malformedHeaders: (detail: string): AdmissionError => rejection('MALFORMED_HEADERS', 400, detail),
};

/** Converts the reason why a body can't be read to the rejection of its request. */
export const bodyRejectionOf = (error: BodyReadError): AdmissionError | CallerDisconnected => {
  switch (error.code) {
    case 'BODY_TOO_LARGE':
      return admissionErrors.bodyTooLarge;
    case 'NO_ROOM':
      return admissionErrors.noRoom;
    case 'BODY_STALLED':
      return admissionErrors.bodyStalled;
    case 'CALLER_GONE':
      return { code: 'CALLER_GONE' };
  }
};
