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

/** One request as a replica read it from its socket. `turn` counts the requests of its connection from 1. */
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

/** A replica that speaks raw bytes: it reads whole requests and leaves each answer to its script. */
export class RawReplica {
  readonly begun: ReplicaRequest[] = [];
  readonly sockets = new Set<Socket>();
  private tellBegun: () => void = () => {};
  private readonly firstBegun = new Promise<void>((resolve) => {
    this.tellBegun = resolve;
  });
  private readonly server: Server;
  private port = 0;

  constructor(
    readonly id: string,
    private readonly script: (request: ReplicaRequest, replica: RawReplica) => void,
  ) {
    this.server = createServer({ noDelay: true, allowHalfOpen: true }, this.take);
  }

  readonly open = async (): Promise<void> => {
    this.port = await listening(this.server);
  };

  /** Resolves once a first request has begun. */
  readonly untilBegun = (): Promise<void> => this.firstBegun;

  readonly address = (): string => `${host}:${this.port}`;

  readonly close = (): void => {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  };

  private readonly take = (socket: Socket): void => {
    let held = '';
    let turn = 0;
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('end', () => socket.end());
    socket.on('data', (bytes: Buffer) => {
      held += bytes.toString('latin1');
      for (;;) {
        const end = held.indexOf(headEnd);
        if (end < 0) return;
        const head = held.slice(0, end);
        const size = Number(headerIn(head, 'content-length') ?? 0);
        const bodyAt = end + headEnd.length;
        if (held.length < bodyAt + size) return;
        const [method = '', target = ''] = head.split(' ');
        const request: ReplicaRequest = {
          method,
          target,
          tryId: headerIn(head, 'try-id') ?? '',
          lastEventId: Number(headerIn(head, 'last-event-id') ?? 0),
          body: held.slice(bodyAt, bodyAt + size),
          turn: ++turn,
          socket,
        };
        held = held.slice(bodyAt + size);
        this.begun.push(request);
        this.tellBegun();
        this.script(request, this);
      }
    });
  };
}

/** What a caller read: `isWhole` by the answer's own framing, `isReset` where the connection was reset rather than closed. */
export interface CallerAnswer {
  readonly status: number;
  readonly head: string;
  readonly body: string;
  readonly isWhole: boolean;
}

const chunksIn = (text: string): { body: string; used: number; isWhole: boolean } => {
  let body = '';
  let at = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd < 0) return { body, used: text.length, isWhole: false };
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    const begin = lineEnd + 2;
    body += text.slice(begin, begin + size);
    if (text.length < begin + size + 2) return { body, used: text.length, isWhole: false };
    at = begin + size + 2;
    if (size === 0) return { body, used: at, isWhole: true };
  }
};

const bodiless = (status: number, method: string): boolean => method === 'HEAD' || status === 204 || status === 304;

/** One connection of a caller, in raw bytes. */
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
      this.changed();
    });
    this.socket.on('error', () => {
      this.isReset = true;
    });
    this.socket.on('end', () => this.socket.end());
    this.socket.on('close', () => {
      this.isClosed = true;
      this.changed();
    });
  }

  private readonly changed = (): void => {
    for (const watcher of this.watchers) watcher();
  };

  readonly received = (): string => this.text;

  readonly until = (isThere: () => boolean): Promise<void> =>
    new Promise((resolve) => {
      const check = (): void => {
        if (!isThere()) return;
        this.watchers.delete(check);
        resolve();
      };
      this.watchers.add(check);
      check();
    });

  /** The answers so far to requests of these methods; the last one may not be whole. */
  readonly answers = (methods: readonly string[]): CallerAnswer[] => {
    const answers: CallerAnswer[] = [];
    let rest = this.text;
    while (rest.length > 0) {
      const end = rest.indexOf(headEnd);
      if (end < 0) return answers;
      const head = rest.slice(0, end);
      const status = Number(head.split(' ')[1]);
      rest = rest.slice(end + headEnd.length);
      if (status < 200) continue;
      const method = methods[answers.length] ?? 'GET';
      const length = headerIn(head, 'content-length');
      if (bodiless(status, method)) answers.push({ status, head, body: '', isWhole: true });
      else if (/chunked/i.test(headerIn(head, 'transfer-encoding') ?? '')) {
        const { body, used, isWhole } = chunksIn(rest);
        answers.push({ status, head, body, isWhole });
        rest = rest.slice(used);
      } else if (length !== null) {
        const body = rest.slice(0, Number(length));
        answers.push({ status, head, body, isWhole: body.length === Number(length) });
        rest = rest.slice(body.length);
      } else {
        answers.push({ status, head, body: rest, isWhole: this.isClosed && !this.isReset });
        return answers;
      }
    }
    return answers;
  };

  /** Resolves once so many answers are whole, or the connection is closed. */
  readonly finish = async (methods: readonly string[]): Promise<CallerAnswer[]> => {
    await this.until(
      () => this.isClosed || this.answers(methods).filter(({ isWhole }) => isWhole).length >= methods.length,
    );
    return this.answers(methods);
  };
}

export type RouteKind = 'once' | 'repeatable' | 'stream' | 'resumable stream';
export const routeKinds: readonly RouteKind[] = ['once', 'repeatable', 'stream', 'resumable stream'];
export type BodyKind = 'none' | 'with length' | 'chunked';
export const bodyKinds: readonly BodyKind[] = ['none', 'with length', 'chunked'];

export const pathOf = (kind: RouteKind): string => `/${kind.replace(' ', '-')}/`;

/** Milliseconds: how long a route holds a request, and the aim from which an edge derives its patience with a replica. */
export interface Times {
  readonly deadlineMs: number;
  readonly targetMs: number;
}

/** So long that a busy machine changes no outcome. */
export const patient: Times = { deadlineMs: 20_000, targetMs: 10_000 };
/** So short that an edge leaves a silent replica, where it may, well before it gives the request up. */
export const impatient: Times = { deadlineMs: 10_000, targetMs: 4_000 };

const routeOf = (kind: RouteKind, { deadlineMs, targetMs }: Times): Route => ({
  name: kind,
  host: 'site.example',
  pathPrefix: pathOf(kind),
  kind: kind === 'once' || kind === 'repeatable' ? kind : 'stream',
  timeoutMs: deadlineMs,
  latencyTargetMs: targetMs,
  rank: 1,
  shares: [{ pool: 'p', share: 1 }],
  maxAttempts: 3,
  isPublic: true,
  isResumable: kind === 'resumable stream',
  maxEventGapMs: 50,
});

const routingTableOf = (times: Times): RoutingTable => ({
  routes: routeKinds.map((kind) => routeOf(kind, times)),
  pools: [{ name: 'p', connectionLimit: null, engine: null }],
  stores: [],
  customers: null,
  limits: { headerBytes: 16_384, bodyBytes: 65_536, headerMs: 3_000, idleMs: 15_000 },
});

const edgePort = 8_080;
const anyByte = (): number => 1 + Math.floor(machine.random.fraction() * 250);

/** A loopback address of its own for each edge, so that none waits for another's port. */
const freshHost = (): string => `127.${anyByte()}.${anyByte()}.${anyByte()}`;

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

/** The pieces of the right body for a request, from the event after `lastEventId` on. */
export const piecesOf = ({ target, tryId, lastEventId }: Pick<ReplicaRequest, 'target' | 'tryId' | 'lastEventId'>) =>
  isStream(target)
    ? Array.from({ length: eventCount - lastEventId }, (_, at) => eventText(tryId, lastEventId + at + 1))
    : [`answer to ${tryId}, `, 'whole\n'];

export const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

export const answerHead = (status: string, tryId: string | null, more: readonly string[] = []): string =>
  `${[`HTTP/1.1 ${status}`, ...(tryId === null ? [] : [`Try-Id: ${tryId}`]), ...more].join('\r\n')}${headEnd}`;

/** The whole proper answer to a request, with a length or, for streams, in chunks. */
export const properAnswer = (request: ReplicaRequest): string => {
  const { method, target, tryId } = request;
  const pieces = piecesOf(request);
  const seal = `Server-Seal: seal-of-${tryId}`;
  const isHead = method === 'HEAD';
  if (isStream(target)) {
    const head = answerHead('200 OK', tryId, [seal, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked']);
    return isHead ? head : `${head}${pieces.map(chunk).join('')}0\r\n\r\n`;
  }
  const body = pieces.join('');
  return `${answerHead('200 OK', tryId, [seal, `Content-Length: ${body.length}`])}${isHead ? '' : body}`;
};

/** A real edge on loopback before raw replicas: real `CallDoor`, real carriage, real clock; nothing is simulated. */
export class WireStage {
  private constructor(
    readonly edge: EdgeProxy,
    private readonly edgeHost: string,
    private readonly httpClient: HttpClient,
    readonly replicas: readonly RawReplica[],
  ) {}

  static readonly open = async (replicas: readonly RawReplica[], times: Times = patient): Promise<WireStage> => {
    for (const replica of replicas) await replica.open();
    const edgeHost = freshHost();
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
        retryBudgetRatio: 1,
        retryBudgetWindowMs: 10_000,
        retryBudgetSlack: 100,
        listIntervalMs: 1_000,
        listPerSecond: 1,
        listTimeoutMs: 1_000,
        memoryMb: 250,
        openFiles: 4_096,
      })
      ._unsafeUnwrap();
    const httpClient = httpClients.real(null);
    const ports: Ports = {
      clock: machine.clock,
      random: machine.random,
      net: machine.net(null),
      httpServer: { open: async () => Promise.reject(new Error('no door is opened here')) },
      httpClient,
      disk: machine.noDisk(),
      log: logs.silent(),
    };
    const edge = new EdgeProxy(settings, ports, headerCodec, []);
    edge.applyState({
      logIndex: 1,
      configVersion: 1,
      table: routingTableOf(times),
      targetWeights: {},
      weightsAges: {},
      members: [],
    });
    const stage = new WireStage(edge, edgeHost, httpClient, replicas);
    stage.list(replicas);
    (await edge.open())._unsafeUnwrap();
    return stage;
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

  /** Puts just these replicas on the list. */
  readonly list = (replicas: readonly RawReplica[]): void =>
    this.edge.applyEndpoints({
      isWhole: false,
      put: replicas.map(this.endpointOf),
      gone: this.replicas.filter((replica) => !replicas.includes(replica)).map(({ id }) => id),
    });

  /** Serves one request at each replica, so that a kept connection leads to each. */
  readonly warm = async (): Promise<void> => {
    for (const replica of this.replicas) {
      this.list([replica]);
      await this.ask('repeatable', 'GET', `warm-${replica.id}`, 'none');
    }
    this.list(this.replicas);
  };

  readonly caller = (): RawCaller => new RawCaller(this.edgeHost);

  /** One request on a connection of its own; the answer is null where the connection ended without a head. */
  readonly ask = async (
    kind: RouteKind,
    method: string,
    tryId: string,
    body: BodyKind,
  ): Promise<CallerAnswer | null> => {
    const caller = this.caller();
    caller.socket.write(requestText(kind, method, tryId, body));
    const [answer] = await caller.finish([method]);
    caller.socket.destroy();
    return answer ?? null;
  };

  readonly begun = (tryId: string): ReplicaRequest[] =>
    this.replicas.flatMap(({ begun }) => begun).filter((request) => request.tryId === tryId);

  readonly close = async (): Promise<void> => {
    this.edge.stop();
    this.edge.ingress.stopAccepting();
    for (const replica of this.replicas) replica.close();
    await this.httpClient.close();
  };
}
