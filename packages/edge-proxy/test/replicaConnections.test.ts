import { monitorEventLoopDelay } from 'node:perf_hooks';
import { expect } from 'chai';
import {
  RawReplica,
  EdgeFixture,
  responseHead,
  isRetryable,
  bodyKinds,
  encodeChunk,
  eventCount,
  shortTimeouts,
  longTimeouts,
  pathOf,
  expectedChunks,
  validResponse,
  routeKinds,
} from './edgeHarness.js';
import type { BodyKind, CallerResponse, ReplicaRequest, RouteKind } from './edgeHarness.js';

/**
 * What a fault does to the first attempt of a request:
 * `harmless`: the response still arrives complete; `not run`: the replica reports that it did not run, or nothing was
 * sent; `no response`: it may have run, and nothing usable of a response arrives; `truncated`: the head and a part of the
 * body arrive.
 */
type FaultEffect = 'harmless' | 'not run' | 'no response' | 'truncated';

interface Fault {
  readonly name: string;
  readonly effect: FaultEffect;
  readonly act: (request: ReplicaRequest) => void;
  /** Responds to the previous request on the same connection. */
  readonly onWarmUp?: (request: ReplicaRequest) => void;
  readonly isUnresponsive?: boolean;
  readonly hasNoBody?: boolean;
  /** Whether it includes a real-time delay that must stay below one of the edge's timeouts. */
  readonly isTimed?: boolean;
}

const seal = (tryId: string): string => `Server-Seal: seal-of-${tryId}`;
const send = (request: ReplicaRequest, text: string): void => void request.socket.write(text, 'latin1');
const reset = (request: ReplicaRequest): void => void request.socket.resetAndDestroy();
const sendThen = (request: ReplicaRequest, text: string, then: () => void): void =>
  void request.socket.write(text, 'latin1', () => setImmediate(then));

/** A response to a request that the replica was never sent, or was sent long ago. */
const foreignResponse = (id: string | null): string =>
  `${responseHead('200 OK', id, [seal(id ?? 'nobody'), 'Content-Length: 7'])}foreign`;
const notRunFor = (status: string, id: string | null): string =>
  responseHead(status, id, ['Not-Run: 1', 'Retry-After: 0.01', 'Content-Length: 0']);
const lengthHead = (request: ReplicaRequest, size: number): string =>
  responseHead('200 OK', request.tryId, [seal(request.tryId), `Content-Length: ${size}`]);
const chunkedHead = (request: ReplicaRequest): string =>
  responseHead('200 OK', request.tryId, [seal(request.tryId), 'Transfer-Encoding: chunked']);
const undelimitedHead = (request: ReplicaRequest): string =>
  responseHead('200 OK', request.tryId, [seal(request.tryId)]);
const otherCodingHead = ({ tryId }: ReplicaRequest): string =>
  responseHead('200 OK', tryId, [
    seal(tryId),
    'Connection: close',
    'Transfer-Encoding: chunked',
    'Transfer-Encoding: identity',
  ]);
const firstChunk = (request: ReplicaRequest): string => expectedChunks(request)[0] ?? '';
const completeBody = (request: ReplicaRequest): string => expectedChunks(request).join('');

const faults: readonly Fault[] = [
  { name: 'a reset when the request arrives', effect: 'no response', act: reset },
  { name: 'a close when the request arrives', effect: 'no response', act: ({ socket }) => void socket.end() },
  {
    name: 'a reset within the head',
    effect: 'no response',
    act: (request) => sendThen(request, 'HTTP/1.1 200 OK\r\nTry-', () => reset(request)),
  },
  {
    name: 'a close within the head',
    effect: 'no response',
    act: (request) => sendThen(request, `HTTP/1.1 200 OK\r\nTry-Id: ${request.tryId}\r\n`, () => request.socket.end()),
  },
  {
    name: 'a close within a body with a length',
    effect: 'truncated',
    hasNoBody: true,
    act: (request) =>
      sendThen(request, `${lengthHead(request, completeBody(request).length)}${firstChunk(request)}`, () =>
        request.socket.end(),
      ),
  },
  {
    name: 'a reset within a body with a length',
    effect: 'truncated',
    hasNoBody: true,
    act: (request) =>
      sendThen(request, `${lengthHead(request, completeBody(request).length)}${firstChunk(request)}`, () =>
        reset(request),
      ),
  },
  {
    name: 'a close within a chunked body',
    effect: 'truncated',
    hasNoBody: true,
    act: (request) =>
      sendThen(request, `${chunkedHead(request)}${encodeChunk(firstChunk(request))}`, () => request.socket.end()),
  },
  {
    name: 'a reset within a chunked body',
    effect: 'truncated',
    hasNoBody: true,
    act: (request) =>
      sendThen(request, `${chunkedHead(request)}${encodeChunk(firstChunk(request))}`, () => reset(request)),
  },
  {
    name: 'a close within a body that is delimited only by connection close',
    effect: 'no response',
    hasNoBody: true,
    act: (request) =>
      sendThen(request, `${undelimitedHead(request)}${firstChunk(request)}`, () => request.socket.end()),
  },
  {
    name: 'a reset within a body that is delimited only by connection close',
    effect: 'no response',
    hasNoBody: true,
    act: (request) => sendThen(request, `${undelimitedHead(request)}${firstChunk(request)}`, () => reset(request)),
  },
  // Guards against a cut that looks like the end: chunks are not the last of the transfer codings.
  {
    name: 'a close within a body whose last transfer coding is not chunked',
    effect: 'no response',
    hasNoBody: true,
    act: (request) =>
      sendThen(request, `${otherCodingHead(request)}${firstChunk(request)}`, () => request.socket.end()),
  },
  { name: 'no response', effect: 'no response', isUnresponsive: true, act: () => {} },
  {
    name: 'a pause, then a reset',
    effect: 'no response',
    act: (request) => void setTimeout(() => reset(request), 150),
  },
  {
    name: 'bytes that form no response',
    effect: 'no response',
    act: (request) => send(request, 'no answer at all\r\n\r\n'),
  },
  {
    name: 'a response with another Try-Id in its place',
    effect: 'no response',
    act: (request) => send(request, foreignResponse('another')),
  },
  {
    name: 'a response without a Try-Id in its place',
    effect: 'no response',
    act: (request) => send(request, foreignResponse(null)),
  },
  {
    name: 'a response with another Try-Id in its place, then its own',
    effect: 'no response',
    act: (request) => send(request, `${foreignResponse('another')}${validResponse(request)}`),
  },
  {
    name: 'a rejection with another Try-Id in its place, then its own response',
    effect: 'no response',
    act: (request) => send(request, `${notRunFor('503 Full', 'another')}${validResponse(request)}`),
  },
  {
    name: 'a rejection without a Try-Id in its place, then its own response',
    effect: 'no response',
    act: (request) => send(request, `${notRunFor('503 Full', null)}${validResponse(request)}`),
  },
  {
    name: 'a 421 without a Try-Id in its place, then its own response',
    effect: 'no response',
    act: (request) =>
      send(request, `${responseHead('421 Other', null, ['Content-Length: 0'])}${validResponse(request)}`),
  },
  {
    name: 'a success without a seal',
    effect: 'no response',
    act: (request) => send(request, `${responseHead('200 OK', request.tryId, ['Content-Length: 2'])}ok`),
  },
  {
    name: 'a 503 that does not state that the request was not run',
    effect: 'no response',
    act: (request) =>
      send(request, responseHead('503 Unwell', request.tryId, [seal(request.tryId), 'Content-Length: 0'])),
  },
  {
    name: 'its own 503 with Not-Run',
    effect: 'not run',
    act: (request) => send(request, notRunFor('503 Full', request.tryId)),
  },
  {
    name: 'its own 429 with Not-Run',
    effect: 'not run',
    act: (request) => send(request, notRunFor('429 Full', request.tryId)),
  },
  {
    name: 'its own 421',
    effect: 'not run',
    act: (request) => send(request, responseHead('421 Other', request.tryId, ['Server-Id: x', 'Content-Length: 0'])),
  },
  {
    name: 'its own 503 with Not-Run, then a reset',
    effect: 'not run',
    act: (request) => sendThen(request, notRunFor('503 Full', request.tryId), () => reset(request)),
  },
  {
    name: 'an interim 103, then its response',
    effect: 'harmless',
    act: (request) => send(request, `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${validResponse(request)}`),
  },
  {
    name: 'its response and an extra one in one packet',
    effect: 'harmless',
    act: (request) => send(request, `${validResponse(request)}${foreignResponse('another')}`),
  },
  {
    name: 'its response, then bytes that form none',
    effect: 'harmless',
    act: (request) => send(request, `${validResponse(request)}no answer at all\r\n\r\n`),
  },
  {
    name: 'its response, then a reset',
    effect: 'harmless',
    act: (request) => sendThen(request, validResponse(request), () => setImmediate(() => reset(request))),
  },
  {
    name: 'an extra response in the packet of the previous response',
    effect: 'harmless',
    act: (request) => send(request, validResponse(request)),
    onWarmUp: (request) => send(request, `${validResponse(request)}${foreignResponse('another')}`),
  },
  {
    name: 'half of an extra response in the packet of the previous response, the rest in its place',
    effect: 'harmless',
    act: (request) => send(request, validResponse(request)),
    onWarmUp: (request) => send(request, `${validResponse(request)}HTTP/1.1 200 OK\r\nTry-Id: anot`),
  },
  {
    name: 'an extra response on the idle connection',
    effect: 'harmless',
    act: (request) => send(request, validResponse(request)),
    onWarmUp: (request) => sendThen(request, validResponse(request), () => send(request, foreignResponse('another'))),
  },
  {
    name: 'a reset of the idle connection',
    effect: 'harmless',
    act: (request) => send(request, validResponse(request)),
    onWarmUp: (request) => sendThen(request, validResponse(request), () => setImmediate(() => reset(request))),
  },
  {
    name: 'a close of the idle connection',
    effect: 'harmless',
    act: (request) => send(request, validResponse(request)),
    onWarmUp: (request) => sendThen(request, validResponse(request), () => request.socket.end()),
  },
  {
    name: 'a pause, then its response',
    isTimed: true,
    effect: 'harmless',
    act: (request) => void setTimeout(() => send(request, validResponse(request)), 150),
  },
  /** A pause of 150 ms against an idle timeout of 250 ms, on the real clock. */
  {
    name: 'a pause within the body',
    effect: 'harmless',
    isTimed: true,
    hasNoBody: true,
    act: (request) => {
      const response = validResponse(request);
      const half = response.length - 5;
      send(request, response.slice(0, half));
      setTimeout(() => send(request, response.slice(half)), 150);
    },
  },
];

const methods = ['GET', 'HEAD', 'POST', 'PUT', 'DELETE'] as const;

interface TestCase {
  readonly kind: RouteKind;
  readonly method: string;
  readonly body: BodyKind;
  readonly isWarmedUp: boolean;
}

const testCasesOf = (fault: Fault): TestCase[] =>
  routeKinds.flatMap((kind) =>
    methods
      .filter((method) => method !== 'HEAD' || fault.hasNoBody !== true)
      .flatMap((method) =>
        bodyKinds.flatMap((body) =>
          (fault.onWarmUp === undefined ? [false, true] : [true]).map((isWarmedUp) => ({
            kind,
            method,
            body,
            isWarmedUp,
          })),
        ),
      ),
  );

interface Observation {
  readonly response: CallerResponse | null;
  readonly requests: readonly ReplicaRequest[];
}

const testedId = 'the-try';

const runCase = async (fault: Fault, { kind, method, body, isWarmedUp }: TestCase): Promise<Observation> => {
  let hasActed = false;
  const script = (request: ReplicaRequest): void => {
    if (request.tryId.startsWith('warm')) {
      if (fault.onWarmUp === undefined) send(request, validResponse(request));
      else fault.onWarmUp(request);
      return;
    }
    if (hasActed) {
      send(request, validResponse(request));
      return;
    }
    hasActed = true;
    fault.act(request);
  };
  const fixture = await EdgeFixture.open(
    [new RawReplica('r1', script), new RawReplica('r2', script)],
    fault.isUnresponsive === true ? shortTimeouts : longTimeouts,
  );
  try {
    if (isWarmedUp) await fixture.warmUp();
    const response = await fixture.sendRequest(kind, method, testedId, body);
    return { response, requests: fixture.requestsOf(testedId) };
  } finally {
    await fixture.close();
  }
};

const concurrentCases = 12;
const concurrentUnresponsiveCases = 60;

/** Shorter than the margin between a timed fault's pause and the timeout that it must stay below. */
const maxEventLoopDelayMs = 60;
const maxRuns = 40;
const nanosecondsPerMs = 1e6;

/**
 * Runs test cases concurrently. The pause of a timed fault has the intended length only if the event loop is not blocked:
 * replicas and edge share it, and after a long block the edge's timeout is due before the replica's bytes are read. Such a
 * run says nothing about the edge and is repeated.
 */
const runTogether = async (fault: Fault, cases: readonly TestCase[]): Promise<Observation[]> => {
  for (let runs = 1; ; runs += 1) {
    const delays = monitorEventLoopDelay({ resolution: 5 });
    delays.enable();
    const observations = await Promise.all(cases.map((testCase) => runCase(fault, testCase)));
    delays.disable();
    if (fault.isTimed !== true || delays.max / nanosecondsPerMs <= maxEventLoopDelayMs || runs === maxRuns)
      return observations;
  }
};

const runAll = async (fault: Fault, cases: readonly TestCase[]): Promise<Observation[]> => {
  const observations: Observation[] = [];
  const count = fault.isUnresponsive === true ? concurrentUnresponsiveCases : concurrentCases;
  for (let at = 0; at < cases.length; at += count)
    observations.push(...(await runTogether(fault, cases.slice(at, at + count))));
  return observations;
};

/** Expected number of starts, and outcome: a complete 200, a truncated 200, or an error that leaves the outcome open. */
const expected = (effect: FaultEffect, kind: RouteKind): { starts: number; outcome: string } => {
  if (effect === 'harmless') return { starts: 1, outcome: 'complete 200' };
  if (effect === 'not run') return { starts: 2, outcome: 'complete 200' };
  if (effect === 'no response')
    return isRetryable(kind) ? { starts: 2, outcome: 'complete 200' } : { starts: 1, outcome: 'outcome unknown' };
  return kind === 'resumable stream' ? { starts: 2, outcome: 'complete 200' } : { starts: 1, outcome: 'truncated 200' };
};

const outcomeOf = (observation: Observation, testCase: TestCase): string => {
  const { response, requests } = observation;
  if (response === null) return 'outcome unknown';
  if (response.status === 502 || response.status === 504)
    return /server-seal/i.test(response.head) ? 'sealed failure' : 'outcome unknown';
  if (response.status !== 200) return `status ${response.status}`;
  const head = response.head.toLowerCase();
  if (!head.includes(seal(testedId).toLowerCase()) || !head.includes(`try-id: ${testedId}`)) return 'another head';
  const expectedBody =
    testCase.method === 'HEAD' ? '' : expectedChunks({ ...(requests[0] as ReplicaRequest), lastEventId: 0 }).join('');
  if (!expectedBody.startsWith(response.body)) return 'other bytes';
  if (!response.isComplete) return 'truncated 200';
  return response.body === expectedBody ? 'complete 200' : 'truncated body that looks complete';
};

const callers = 8;
const requestsEach = 25;
const randomFaults = faults.filter(({ onWarmUp, hasNoBody }) => onWarmUp === undefined && hasNoBody !== true);

/** Returns a seeded generator of integers from 0 to below a limit. */
const randomIntegers = (seed: number): ((limit: number) => number) => {
  let state = seed;
  return (limit) => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return Math.floor((state / 2 ** 32) * limit);
  };
};

describe('a replica connection, over real sockets', function () {
  this.timeout(60_000);

  for (const fault of faults)
    it(`given ${fault.name}, when it hits a request of any route kind, method and body, then no caller gets a foreign response or a truncated one that looks complete, and a request that must not be repeated starts once`, async () => {
      const cases = testCasesOf(fault);
      const observations = await runAll(fault, cases);
      const wrong = cases.flatMap((testCase, at) => {
        const one = observations[at] as Observation;
        const wanted = expected(fault.effect, testCase.kind);
        const got = { starts: one.requests.length, outcome: outcomeOf(one, testCase) };
        return got.starts === wanted.starts && got.outcome === wanted.outcome
          ? []
          : [`${JSON.stringify(testCase)}: wanted ${JSON.stringify(wanted)}, got ${JSON.stringify(got)}`];
      });
      if (wrong.length > 0) expect.fail(wrong.join('\n'));
      for (const { requests } of observations)
        for (const request of requests) {
          expect(request.target.endsWith(`/${testedId}`)).to.equal(true);
          expect(['', `body of ${testedId}`]).to.include(request.body);
          expect(request.lastEventId).to.be.below(eventCount);
        }
    });

  it('given a foreign response in the place of a response, when the right one arrives during the next request, then the next request still gets its own response', async () => {
    let pendingRequest: ReplicaRequest | null = null;
    const replica = new RawReplica('r1', (request) => {
      if (request.tryId === 'one') {
        pendingRequest = request;
        send(request, foreignResponse('another'));
      } else {
        if (pendingRequest?.socket === request.socket) send(pendingRequest, validResponse(pendingRequest));
        send(request, validResponse(request));
      }
    });
    const fixture = await EdgeFixture.open([replica]);
    try {
      const first = await fixture.sendRequest('once', 'POST', 'one', 'with length');
      const next = await fixture.sendRequest('once', 'POST', 'two', 'with length');
      expect([first?.status, next?.status]).to.deep.equal([502, 200]);
      expect(replica.requests.map(({ tryId }) => tryId)).to.deep.equal(['one', 'two']);
    } finally {
      await fixture.close();
    }
  });

  for (const seed of [1, 2, 3])
    it(`given replicas that inject any of these faults (seed ${seed}), when callers send requests over reused connections, then no caller gets a foreign response, and no request reported as not run was run`, async () => {
      const randomBelow = randomIntegers(seed);
      const reportedNotRun = new Set<ReplicaRequest>();
      const script = (request: ReplicaRequest): void => {
        const fault = randomFaults[randomBelow(randomFaults.length)] as Fault;
        if (randomBelow(2) === 0) send(request, validResponse(request));
        else {
          if (fault.effect === 'not run') reportedNotRun.add(request);
          fault.act(request);
        }
      };
      const replicas = ['r1', 'r2', 'r3', 'r4'].map((id) => new RawReplica(id, script));
      const fixture = await EdgeFixture.open(replicas, { timeoutMs: 1_500, targetMs: 300 });
      const wrong: string[] = [];
      let completed = 0;
      const sendRequests = async (caller: number): Promise<void> => {
        for (let at = 0; at < requestsEach; at += 1) {
          const kind = routeKinds[randomBelow(routeKinds.length)] as RouteKind;
          const method = ['GET', 'POST', 'PUT', 'DELETE'][randomBelow(4)] as string;
          const tryId = `c${caller}-${at}`;
          const response = await fixture.sendRequest(
            kind,
            method,
            tryId,
            bodyKinds[randomBelow(bodyKinds.length)] as BodyKind,
          );
          const requests = fixture.requestsOf(tryId);
          const ran = requests.filter((request) => !reportedNotRun.has(request));
          const expectedBody = expectedChunks({ target: pathOf(kind), tryId, lastEventId: 0 }).join('');
          if (response?.status === 200 && response.isComplete && response.body === expectedBody) completed += 1;
          if (!isRetryable(kind) && ran.length > 1)
            wrong.push(`${tryId} (${kind} ${method}) started ${ran.length} times`);
          if (response === null) continue;
          if (response.status === 200 && !expectedBody.startsWith(response.body)) wrong.push(`${tryId}: other bytes`);
          if (response.status === 200 && response.isComplete && response.body !== expectedBody)
            wrong.push(`${tryId}: a truncated body looks complete`);
          if (response.status === 200 && !response.head.includes(tryId)) wrong.push(`${tryId}: another head`);
          if ([408, 421, 429, 503].includes(response.status) && ran.length > 0)
            wrong.push(`${tryId} (${kind} ${method}) got ${response.status}, and started ${ran.length} times`);
        }
      };
      try {
        await Promise.all(Array.from({ length: callers }, (_, caller) => sendRequests(caller)));
      } finally {
        await fixture.close();
      }
      if (wrong.length > 0) expect.fail(wrong.join('\n'));
      expect(completed).to.be.above((callers * requestsEach) / 10);
    });
});
