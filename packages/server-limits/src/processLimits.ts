/** Derives the bounds of a process's servers from the memory and descriptors of its machine. */

/** Bytes of a MiB. */
const bytesPerMb = 1_048_576;
/** What a process takes before it serves anybody. */
const programMb = 120;
/** The share of the rest for bodies, requests in flight and unread responses. */
const bufferShare = 0.35;
/** The share of the rest for open connections. */
const connectionShare = 0.25;
/** A connection with headers of Node's default limit (16 KiB) that are not complete yet. */
const bytesPerConnection = 24_576;
/** Any process can buffer one body of the default limit (4 MiB) beside the requests in flight. */
const minBufferBytes = 8 * bytesPerMb;
const minConnections = 16;
/** The share of the descriptors for callers' connections; the rest is for replicas, peers and files. */
const callerFileShare = 0.55;
/** The share of the descriptors for connections of operators and load balancers. */
const operatorFileShare = 0.1;
const maxOperatorConnections = 1_024;

/** What a process may use, as its settings state it: memory in MiB and open descriptors. */
export interface ProcessResources {
  readonly memoryMb: number;
  readonly openFiles: number;
}

/** The bounds of a process's servers. */
export interface ProcessLimits {
  /** Bytes that all requests and unread responses of the process may take together. */
  readonly bufferBytes: number;
  /** Open connections of callers. */
  readonly callerConnections: number;
  /** Open connections of operators, load balancers and other clients of a server that is not for callers. */
  readonly operatorConnections: number;
}

/** `of` derives the bounds of a process. */
export const processLimits = {
  of: ({ memoryMb, openFiles }: ProcessResources): ProcessLimits => {
    const freeBytes = Math.max(0, memoryMb - programMb) * bytesPerMb;
    const connectionsInMemory = (freeBytes * connectionShare) / bytesPerConnection;
    const connections = (fileShare: number): number =>
      Math.max(minConnections, Math.floor(Math.min(openFiles * fileShare, connectionsInMemory)));
    return {
      bufferBytes: Math.max(minBufferBytes, Math.floor(freeBytes * bufferShare)),
      callerConnections: connections(callerFileShare),
      operatorConnections: Math.min(maxOperatorConnections, connections(operatorFileShare)),
    };
  },
};
