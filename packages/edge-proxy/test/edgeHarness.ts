import { createConnection, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { logs, machine } from '@martenworks/core-types';
import type { HttpClient, Ports, ReplicaEndpoint, Route, RoutingTable } from '@martenworks/core-types';
import { EdgeProxy } from '@martenworks/edge-proxy';
import { headerCodec } from '@martenworks/platform';
import { nodeSettings } from '@martenworks/settings';
import { httpClients } from '@martenworks/upstream';

const host = '127.0.0.1';
const headEnd = '\r\n\r\n';

/** One request as read from a replica's socket. `turn` counts the requests of the connection from 1. */
export interface ReplicaRequest {
  readonly method: string;
  readonly target: string;
  readonly tryId: string;
  readonly lastEventId: number;
  readonly body: string;
  readonly turn: number;
  readonly socket: Socket;
}

const headerIn = (head: string, name: string): string | null =>
  new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim() ?? null;

const listening = (server: Server): Promise<number> =>
  new Promise((resolve) => server.listen(0, host, () => resolve((server.address() as AddressInfo).port)));

/** A replica on raw TCP: parses complete requests and leaves each response to its script. */
export class RawReplica {
  readonly requests: ReplicaRequest[] = [];
  readonly sockets = new Set<Socket>();
  private resolveFirstRequest: () => void = () => {};
  private readonly firstRequest = new Promise<void>((resolve) => {
    this.resolveFirstRequest = resolve;
  });
  private readonly server: Server;
  private port = 0;

  constructor(
    readonly id: string,
    private readonly script: (request: ReplicaRequest, replica: RawReplica) => void,
  ) {
    this.server = createServer({ noDelay: true, allowHalfOpen: true }, this.handleConnection);
  }

  readonly open = async (): Promise<void> => {
    this.port = await listening(this.server);
  };

  /** Resolves once the first request has arrived. */
  readonly untilFirstRequest = (): Promise<void> => this.firstRequest;

  readonly address = (): string => `${host}:${this.port}`;

  readonly close = (): void => {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  };

  private readonly handleConnection = (socket: Socket): void => {
    let received = '';
    let turn = 0;
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('end', () => socket.end());
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
      for (;;) {
        const end = received.indexOf(headEnd);
        if (end < 0) return;
        const head = received.slice(0, end);
        const size = Number(headerIn(head, 'content-length') ?? 0);
        const bodyAt = end + headEnd.length;
        if (received.length < bodyAt + size) return;
        const [method = '', target = ''] = head.split(' ');
        const request: ReplicaRequest = {
          method,
          target,
          tryId: headerIn(head, 'try-id') ?? '',
          lastEventId: Number(headerIn(head, 'last-event-id') ?? 0),
          body: received.slice(bodyAt, bodyAt + size),
          turn: ++turn,
          socket,
        };
        received = received.slice(bodyAt + size);
        this.requests.push(request);
        this.resolveFirstRequest();
        this.script(request, this);
      }
    });
  };
}

/** A response as read by a caller; `isComplete` by the response's own framing. */
export interface CallerResponse {
  readonly status: number;
  readonly head: string;
  readonly body: string;
  readonly isComplete: boolean;
}

const decodeChunks = (text: string): { body: string; used: number; isComplete: boolean } => {
  let body = '';
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd < 0) return { body, used: text.length, isComplete: false };
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    const begin = lineEnd + 2;
    body += text.slice(begin, begin + size);
    if (text.length < begin + size + 2) return { body, used: text.length, isComplete: false };
    at = begin + size + 2;
    if (size === 0) return { body, used: at, isComplete: true };
  }
};

const bodiless = (status: number, method: string): boolean => method === 'HEAD' || status === 204 || status === 304;

/** One caller connection on raw TCP; `isReset` is true if it was reset rather than closed. */
export class RawCaller {
  readonly socket: Socket;
  private text = '';
  isReset = false;
  isClosed = false;
  private readonly watchers = new Set<() => void>();

  constructor(edgeHost: string) {
    this.socket = createConnection({ host: edgeHost, port: edgePort, noDelay: true, allowHalfOpen: true });
    this.socket.on('data', (bytes: Buffer) => {
      this.text += bytes.toString('latin1');
      this.notifyWatchers();
    });
    this.socket.on('error', () => {
      this.isReset = true;
    });
    this.socket.on('end', () => this.socket.end());
    this.socket.on('close', () => {
      this.isClosed = true;
      this.notifyWatchers();
    });
  }

  private readonly notifyWatchers = (): void => {
    for (const watcher of this.watchers) watcher();
  };

  readonly received = (): string => this.text;

  readonly until = (condition: () => boolean): Promise<void> =>
    new Promise((resolve) => {
      const check = (): void => {
        if (!condition()) return;
        this.watchers.delete(check);
        resolve();
      };
      this.watchers.add(check);
      check();
    });

  /** The responses received so far to requests of these methods; the last one may be incomplete. */
  readonly responses = (methods: readonly string[]): CallerResponse[] => {
    const responses: CallerResponse[] = [];
    let rest = this.text;
    while (rest.length > 0) {
      const end = rest.indexOf(headEnd);
      if (end < 0) return responses;
      const head = rest.slice(0, end);
      const status = Number(head.split(' ')[1]);
      rest = rest.slice(end + headEnd.length);
      if (status < 200) continue;
      const method = methods[responses.length] ?? 'GET';
      const length = headerIn(head, 'content-length');
      if (bodiless(status, method)) responses.push({ status, head, body: '', isComplete: true });
      else if (/chunked/i.test(headerIn(head, 'transfer-encoding') ?? '')) {
        const { body, used, isComplete } = decodeChunks(rest);
        responses.push({ status, head, body, isComplete });
        rest = rest.slice(used);
      } else if (length !== null) {
        const body = rest.slice(0, Number(length));
        responses.push({ status, head, body, isComplete: body.length === Number(length) });
        rest = rest.slice(body.length);
      } else {
        responses.push({ status, head, body: rest, isComplete: this.isClosed && !this.isReset });
        return responses;
      }
    }
    return responses;
  };

  /** Resolves once every request has a complete response, or the connection is closed. */
  readonly untilResponses = async (methods: readonly string[]): Promise<CallerResponse[]> => {
    await this.until(
      () => this.isClosed || this.responses(methods).filter(({ isComplete }) => isComplete).length >= methods.length,
    );
    return this.responses(methods);
  };
}

export type RouteKind =
  | 'once'
  | 'repeatable'
  | 'stream'
  | 'resumable stream'
  | 'resumable once'
  | 'resumable repeatable';
export const routeKinds: readonly RouteKind[] = ['once', 'repeatable', 'stream', 'resumable stream'];
/** Also the kinds that carry the flag of resumable streams without being streams, which a configuration may contain. */
export const allRouteKinds: readonly RouteKind[] = [...routeKinds, 'resumable once', 'resumable repeatable'];
const resumablePrefix = 'resumable ';

export const isRetryable = (kind: RouteKind): boolean => kind.endsWith('repeatable') || kind === 'resumable stream';
export type BodyKind = 'none' | 'with length' | 'chunked';
export const bodyKinds: readonly BodyKind[] = ['none', 'with length', 'chunked'];

export const pathOf = (kind: RouteKind): string => `/${kind.replace(' ', '-')}/`;

/** Route timeout, and latency target from which an edge derives its timeouts for replicas, in milliseconds. */
export interface Timeouts {
  readonly timeoutMs: number;
  readonly targetMs: number;
}

/** Long enough that a busy machine does not change any outcome. */
export const longTimeouts: Timeouts = { timeoutMs: 20_000, targetMs: 10_000 };
/** Short enough that an edge abandons an unresponsive replica, where allowed, well before the request's deadline. */
export const shortTimeouts: Timeouts = { timeoutMs: 10_000, targetMs: 4_000 };

const baseKindOf = (kind: RouteKind): Route['kind'] => kind.replace(resumablePrefix, '') as Route['kind'];

const routeOf = (kind: RouteKind, { timeoutMs, targetMs }: Timeouts): Route => ({
  name: kind,
  host: 'site.example',
  pathPrefix: pathOf(kind),
  kind: baseKindOf(kind),
  timeoutMs,
  latencyTargetMs: targetMs,
  rank: 1,
  shares: [{ pool: 'p', share: 1 }],
  maxAttempts: 3,
  isPublic: true,
  isResumable: kind.startsWith(resumablePrefix),
  maxEventGapMs: 50,
});

/** Deviations from the harness's routing table and settings. */
export interface FixtureLimits {
  readonly idleMs?: number;
  readonly bodyBytes?: number;
  readonly memoryMb?: number;
  readonly openFiles?: number;
  /** Slack of the retry budget; 0 leaves no retries at all. */
  readonly retrySlack?: number;
}

const routingTableOf = (timeouts: Timeouts, { bodyBytes = 65_536, idleMs = 15_000 }: FixtureLimits): RoutingTable => ({
  routes: allRouteKinds.map((kind) => routeOf(kind, timeouts)),
  pools: [{ name: 'p', connectionLimit: null, engine: null }],
  stores: [],
  customers: null,
  limits: { headerBytes: 16_384, bodyBytes, headerMs: 3_000, idleMs },
});

const edgePort = 8_080;
const randomByte = (): number => 1 + Math.floor(machine.random.fraction() * 250);

/** A random loopback address for each edge, so that edges don't compete for a port. */
const randomLoopbackHost = (): string => `127.${randomByte()}.${randomByte()}.${randomByte()}`;

export const requestText = (
  kind: RouteKind,
  method: string,
  tryId: string,
  body: BodyKind,
  version = '1.1',
): string => {
  const heads = [`${method} ${pathOf(kind)}${tryId} HTTP/${version}`, 'Host: site.example', `Try-Id: ${tryId}`];
  const text = `body of ${tryId}`;
  if (body === 'none') return `${heads.join('\r\n')}${headEnd}`;
  if (body === 'with length') return `${[...heads, `Content-Length: ${text.length}`].join('\r\n')}${headEnd}${text}`;
  return `${[...heads, 'Transfer-Encoding: chunked'].join('\r\n')}${headEnd}${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`;
};

const isStream = (target: string): boolean => target.includes('stream/');
export const eventCount = 3;
export const eventText = (tryId: string, id: number): string => `id: ${id}\ndata: ${tryId}\n\n`;

/** The chunks of the correct body for a request, starting after event `lastEventId`. */
export const expectedChunks = ({
  target,
  tryId,
  lastEventId,
}: Pick<ReplicaRequest, 'target' | 'tryId' | 'lastEventId'>) =>
  isStream(target)
    ? Array.from({ length: eventCount - lastEventId }, (_, at) => eventText(tryId, lastEventId + at + 1))
    : [`answer to ${tryId}, `, 'whole\n'];

export const encodeChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

export const responseHead = (status: string, tryId: string | null, more: readonly string[] = []): string =>
  `${[`HTTP/1.1 ${status}`, ...(tryId === null ? [] : [`Try-Id: ${tryId}`]), ...more].join('\r\n')}${headEnd}`;

/** The complete, correct response to a request, with a length or, for streams, chunked. */
export const validResponse = (request: ReplicaRequest): string => {
  const { method, target, tryId } = request;
  const chunks = expectedChunks(request);
  const seal = `Server-Seal: seal-of-${tryId}`;
  const isHead = method === 'HEAD';
  if (isStream(target)) {
    const head = responseHead('200 OK', tryId, [seal, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked']);
    return isHead ? head : `${head}${chunks.map(encodeChunk).join('')}0\r\n\r\n`;
  }
  const body = chunks.join('');
  return `${responseHead('200 OK', tryId, [seal, `Content-Length: ${body.length}`])}${isHead ? '' : body}`;
};

/** An edge on loopback in front of raw replicas, with real sockets, HTTP client and clock; nothing is simulated. */
export class EdgeFixture {
  private constructor(
    readonly edge: EdgeProxy,
    private readonly edgeHost: string,
    private readonly httpClient: HttpClient,
    readonly replicas: readonly RawReplica[],
  ) {}

  static readonly open = async (
    replicas: readonly RawReplica[],
    timeouts: Timeouts = longTimeouts,
    limits: FixtureLimits = {},
  ): Promise<EdgeFixture> => {
    for (const replica of replicas) await replica.open();
    const edgeHost = randomLoopbackHost();
    const settings = nodeSettings
      .check({
        name: 'edge',
        zone: 'z',
        zones: { z: 'r' },
        peerAddress: `${host}:1`,
        http: `${edgeHost}:${edgePort}`,
        seeds: [`${host}:1`],
        voters: 1,
        isFresh: true,
        drainMs: 1_000,
        orderGapMs: 3_000,
        versionMs: 8_000,
        retryBudgetRatio: limits.retrySlack === 0 ? 0 : 1,
        retryBudgetWindowMs: 10_000,
        retryBudgetSlack: limits.retrySlack ?? 100,
        listIntervalMs: 1_000,
        listPerSecond: 1,
        listTimeoutMs: 1_000,
        memoryMb: limits.memoryMb ?? 250,
        openFiles: limits.openFiles ?? 4_096,
      })
      ._unsafeUnwrap();
    const httpClient = httpClients.real(null);
    const ports: Ports = {
      clock: machine.clock,
      random: machine.random,
      net: machine.net(null),
      httpServer: { open: async () => Promise.reject(new Error('the HTTP server port is not used here')) },
      httpClient,
      disk: machine.noDisk(),
      log: logs.silent(),
    };
    const edge = new EdgeProxy(settings, ports, headerCodec, []);
    edge.applyState({
      logIndex: 1,
      configVersion: 1,
      table: routingTableOf(timeouts, limits),
      targetWeights: {},
      weightsAges: {},
      members: [],
    });
    const fixture = new EdgeFixture(edge, edgeHost, httpClient, replicas);
    fixture.setEndpoints(replicas);
    (await edge.open())._unsafeUnwrap();
    return fixture;
  };

  private readonly endpointOf = (replica: RawReplica): ReplicaEndpoint => ({
    id: replica.id,
    pool: 'p',
    address: replica.address(),
    zone: 'z',
    slots: 12,
    isLeaving: false,
    weights: {},
  });

  /** Updates the endpoint list to exactly these replicas. */
  readonly setEndpoints = (replicas: readonly RawReplica[]): void =>
    this.edge.applyEndpoints({
      isWhole: false,
      put: replicas.map(this.endpointOf),
      gone: this.replicas.filter((replica) => !replicas.includes(replica)).map(({ id }) => id),
    });

  /** Serves one request on each replica, so that a reusable connection to each exists. */
  readonly warmUp = async (): Promise<void> => {
    for (const replica of this.replicas) {
      this.setEndpoints([replica]);
      await this.sendRequest('repeatable', 'GET', `warm-${replica.id}`, 'none');
    }
    this.setEndpoints(this.replicas);
  };

  readonly caller = (): RawCaller => new RawCaller(this.edgeHost);

  /** Sends one request on a new connection; returns null if the connection ended before a response head. */
  readonly sendRequest = async (
    kind: RouteKind,
    method: string,
    tryId: string,
    body: BodyKind,
  ): Promise<CallerResponse | null> => {
    const caller = this.caller();
    caller.socket.write(requestText(kind, method, tryId, body));
    const [response] = await caller.untilResponses([method]);
    caller.socket.destroy();
    return response ?? null;
  };

  readonly requestsOf = (tryId: string): ReplicaRequest[] =>
    this.replicas.flatMap(({ requests }) => requests).filter((request) => request.tryId === tryId);

  readonly close = async (): Promise<void> => {
    this.edge.stop();
    this.edge.ingress.stopAccepting();
    for (const replica of this.replicas) replica.close();
    await this.httpClient.close();
  };
}
