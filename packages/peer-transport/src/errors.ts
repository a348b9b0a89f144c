/** The error of a peer connection. */

/**
 * A failed call or dial.
 *
 * - `closed`: the connection ended
 * - `timeout`: no progress within the timeout; the peer may have handled the call
 * - `full`: too many calls are pending
 * - `unreachable`: no connection within the timeout
 */
export interface PeerError {
  readonly kind: 'peer';
  readonly code: 'closed' | 'timeout' | 'full' | 'unreachable';
}

/** Creates a peer error with this code. */
export const peerError = (code: PeerError['code']): PeerError => ({ kind: 'peer', code });
