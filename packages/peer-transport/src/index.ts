export * from './frames.js';
export * from './peerConnection.js';
