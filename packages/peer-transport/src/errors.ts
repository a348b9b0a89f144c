/** The error of a peer connection. */

/**
 * A peer that can't be asked: `closed` (the connection ended), `timeout` (no progress within the timeout; the peer may
 * have acted), `full` (too many calls are open) or `unreachable` (no connection within the timeout).
 */
export interface PeerError {
  readonly kind: 'peer';
  readonly code: 'closed' | 'timeout' | 'full' | 'unreachable';
}

/** A peer error with this code. */
export const peerError = (code: PeerError['code']): PeerError => ({ kind: 'peer', code });
