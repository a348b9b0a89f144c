/** Held connections between nodes, over TCP with CBOR frames. */
export { Unpacker, frameLimit, frames } from './frames.js';
export { hellos, wireRelease } from './hello.js';
export type { Hello } from './hello.js';
export type { PeerError } from './errors.js';
export { PeerConnection } from './peerConnection.js';
export type { Handlers } from './peerConnection.js';
export { peerConnections } from './peerConnections.js';
