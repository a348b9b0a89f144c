/** Long-lived connections between nodes: CBOR frames over TCP. */
export { FrameDecoder, maxFrameBytes, frames } from './frames.js';
export { hellos, protocolVersion } from './hello.js';
export type { Hello } from './hello.js';
export type { PeerError } from './errors.js';
export { PeerConnection } from './peerConnection.js';
export type { PeerHandlers } from './peerConnection.js';
export { peerConnections } from './peerConnections.js';
