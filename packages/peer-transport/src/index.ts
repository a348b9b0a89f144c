/** Held connections between nodes, over TCP with CBOR frames. */
export { FrameDecoder, maxFrameBytes, frames } from './frames.js';
export { hellos, protocolVersion } from './hello.js';
export type { Hello } from './hello.js';
export type { PeerError } from './errors.js';
export { PeerConnection } from './peerConnection.js';
export type { PeerHandlers } from './peerConnection.js';
export { peerConnections } from './peerConnections.js';
