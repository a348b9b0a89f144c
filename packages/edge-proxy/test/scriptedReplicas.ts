import {
  EdgeFixture,
  RawReplica,
  encodeChunk,
  requestText,
  responseHead,
  shortTimeouts,
  validResponse,
} from './edgeHarness.js';
import type { CallerResponse, FixtureLimits, ReplicaRequest, RouteKind } from './edgeHarness.js';

/** The id of the request that a scripted case sends. */
export const testedId = 'the-try';

/** What the caller received, and the requests that arrived at replicas, in their order. */
export interface Observation {
  readonly responses: readonly CallerResponse[];
  readonly requests: readonly ReplicaRequest[];
}

export type Script = (request: ReplicaRequest) => void;

/** Options of a scripted case. */
interface ScriptedCase {
  readonly kind: RouteKind;
  /** What the replica does that is asked first, second and so on; those after them answer correctly. */
  readonly scripts: readonly Script[];
  readonly version?: string;
  readonly limits?: FixtureLimits;
}

/** Sends one request to an edge before as many replicas as a request may try, and one more. */
export const observe = async ({ kind, scripts, version = '1.1', limits = {} }: ScriptedCase): Promise<Observation> => {
  let arrivals = 0;
  const script = (request: ReplicaRequest): void => {
    const respond = scripts[arrivals] ?? (() => void request.socket.write(validResponse(request), 'latin1'));
    arrivals += 1;
    respond(request);
  };
  const replicas = ['r1', 'r2', 'r3', 'r4'].map((id) => new RawReplica(id, script));
  const fixture = await EdgeFixture.open(replicas, shortTimeouts, limits);
  const caller = fixture.caller();
  try {
    caller.socket.write(requestText(kind, 'GET', testedId, 'none', version));
    const responses = await caller.untilResponses(['GET']);
    const requests = replicas.flatMap((replica) => replica.requests);
    return { responses, requests };
  } finally {
    caller.socket.destroy();
    await fixture.close();
  }
};

/** A head and the start of a chunked body; the connection ends without the last chunk. */
export const breakOffAfter =
  (body: string, heads: readonly string[] = ['Content-Type: text/event-stream'], status = '200 OK'): Script =>
  ({ socket, tryId }) =>
    void socket.write(chunkedStart(tryId, body, heads, status), 'latin1', () => setImmediate(() => socket.end()));

/** A complete chunked response. */
export const answerWith =
  (body: string, heads: readonly string[] = ['Content-Type: text/event-stream'], status = '200 OK'): Script =>
  ({ socket, tryId }) =>
    void socket.write(`${chunkedStart(tryId, body, heads, status)}0\r\n\r\n`, 'latin1');

const chunkedStart = (tryId: string, body: string, heads: readonly string[], status: string): string => {
  const head = responseHead(status, tryId, [`Server-Seal: seal-of-${tryId}`, 'Transfer-Encoding: chunked', ...heads]);
  return body.length === 0 ? head : `${head}${encodeChunk(body)}`;
};
