import { expect } from 'chai';
import {
  RawReplica,
  EdgeFixture,
  responseHead,
  encodeChunk,
  eventText,
  pathOf,
  expectedChunks,
  validResponse,
  requestText,
} from './edgeHarness.js';
import type { RawCaller, ReplicaRequest } from './edgeHarness.js';

const respond = (request: ReplicaRequest): void => void request.socket.write(validResponse(request), 'latin1');
const bodyOf = (kind: 'once' | 'stream', tryId: string): string =>
  expectedChunks({ target: pathOf(kind), tryId, lastEventId: 0 }).join('');
const streamHead = (tryId: string): string =>
  responseHead('200 OK', tryId, [`Server-Seal: seal-of-${tryId}`, 'Transfer-Encoding: chunked']);

/** Runs a scenario on an edge in front of one replica, then closes both. */
const withEdge = async (
  script: (request: ReplicaRequest) => void,
  scenario: (fixture: EdgeFixture, replica: RawReplica) => Promise<void>,
): Promise<void> => {
  const replica = new RawReplica('r1', script);
  const fixture = await EdgeFixture.open([replica]);
  try {
    await scenario(fixture, replica);
  } finally {
    await fixture.close();
  }
};

const untilClosed = (request: ReplicaRequest): Promise<void> =>
  new Promise((resolve) => {
    if (request.socket.destroyed) resolve();
    else request.socket.once('close', () => resolve());
  });

/** Collects requests; `all` resolves once `count` requests have arrived. */
const collectRequests = (count: number) => {
  const requests: ReplicaRequest[] = [];
  let resolveAll: (all: ReplicaRequest[]) => void = () => {};
  const all = new Promise<ReplicaRequest[]>((resolve) => {
    resolveAll = resolve;
  });
  const collect = (request: ReplicaRequest): void => {
    requests.push(request);
    if (requests.length === count) resolveAll(requests);
  };
  return { all, collect };
};

const untilCallerClosed = (caller: RawCaller): Promise<void> => caller.until(() => caller.isClosed);

describe('a caller connection, over real sockets', function () {
  this.timeout(60_000);

  it('given pipelined requests on one connection, when replicas respond in reverse order, then each request gets its own response, in request order', async () => {
    const { all, collect } = collectRequests(3);
    await withEdge(collect, async (fixture) => {
      const caller = fixture.caller();
      caller.socket.write(
        `${requestText('once', 'POST', 'one', 'with length')}${requestText('stream', 'GET', 'two', 'none')}${requestText('once', 'PUT', 'three', 'chunked')}`,
      );
      for (const request of (await all).reverse()) respond(request);
      const responses = await caller.untilResponses(['POST', 'GET', 'PUT']);
      expect(responses.map(({ status, body, isComplete }) => [status, body, isComplete])).to.deep.equal([
        [200, bodyOf('once', 'one'), true],
        [200, bodyOf('stream', 'two'), true],
        [200, bodyOf('once', 'three'), true],
      ]);
    });
  });

  it('given pipelined requests on one connection, when the first response is truncated, then the connection ends and no later response is taken for the rest of it', async () => {
    const { all, collect } = collectRequests(2);
    await withEdge(collect, async (fixture) => {
      const caller = fixture.caller();
      caller.socket.write(`${requestText('stream', 'GET', 'one', 'none')}${requestText('once', 'PUT', 'two', 'none')}`);
      const requests = await all;
      for (const request of requests) {
        if (request.tryId === 'two') respond(request);
        else
          request.socket.write(`${streamHead('one')}${encodeChunk(eventText('one', 1))}`, () => request.socket.end());
      }
      await untilCallerClosed(caller);
      expect(caller.responses(['GET', 'PUT']).map(({ body, isComplete }) => [body, isComplete])).to.deep.equal([
        [eventText('one', 1), false],
      ]);
    });
  });

  it('given pipelined requests on one connection, when the caller disconnects before any response, then each request is cancelled at its replica', async () => {
    const { all, collect } = collectRequests(2);
    await withEdge(collect, async (fixture) => {
      const caller = fixture.caller();
      caller.socket.write(`${requestText('stream', 'GET', 'one', 'none')}${requestText('once', 'PUT', 'two', 'none')}`);
      const requests = await all;
      caller.socket.resetAndDestroy();
      await Promise.all(requests.map(untilClosed));
      expect(fixture.requestsOf('one').length + fixture.requestsOf('two').length).to.equal(2);
    });
  }).timeout(8_000);

  it('given a caller that disconnects as its response starts, when another caller sends a request, then the first request is cancelled and the second gets its own response', async () => {
    await withEdge(
      (request) => {
        if (request.tryId === 'one') request.socket.write(`${streamHead('one')}${encodeChunk(eventText('one', 1))}`);
        else respond(request);
      },
      async (fixture, replica) => {
        const caller = fixture.caller();
        caller.socket.write(requestText('stream', 'GET', 'one', 'none'));
        await caller.until(() => caller.received().length > 0);
        caller.socket.resetAndDestroy();
        await untilClosed(replica.requests[0] as ReplicaRequest);
        const next = await fixture.sendRequest('once', 'POST', 'two', 'with length');
        expect([next?.status, next?.body, next?.isComplete]).to.deep.equal([200, bodyOf('once', 'two'), true]);
        expect(replica.requests.map(({ tryId }) => tryId)).to.deep.equal(['one', 'two']);
      },
    );
  });

  it('given a caller that half-closes after a request that may run only once, when it is served, then it starts at most once and any response that looks complete is complete', async () => {
    await withEdge(respond, async (fixture) => {
      const caller = fixture.caller();
      caller.socket.end(requestText('once', 'POST', 'one', 'with length'));
      await untilCallerClosed(caller);
      const responses = caller.responses(['POST']);
      expect(fixture.requestsOf('one').length).to.be.at.most(1);
      for (const { status, body, isComplete } of responses)
        if (isComplete) expect([status, body]).to.deep.equal([200, bodyOf('once', 'one')]);
    });
  });

  it('given a caller that waits for 100-continue, when it receives it, then the replica gets the request once, and the caller its response', async () => {
    await withEdge(respond, async (fixture) => {
      const caller = fixture.caller();
      caller.socket.write(
        `POST ${pathOf('once')}one HTTP/1.1\r\nHost: site.example\r\nTry-Id: one\r\nExpect: 100-continue\r\nContent-Length: 11\r\n\r\n`,
      );
      await caller.until(() => caller.received().includes('100 Continue'));
      expect(fixture.requestsOf('one').length).to.equal(0);
      caller.socket.write('body of one');
      const [response] = await caller.untilResponses(['POST']);
      expect([response?.status, response?.body]).to.deep.equal([200, bodyOf('once', 'one')]);
      expect(fixture.requestsOf('one').map(({ body }) => body)).to.deep.equal(['body of one']);
    });
  });

  for (const [name, text] of [
    ['a length', 'Content-Length: 11\r\n\r\nbody'],
    ['chunks', 'Transfer-Encoding: chunked\r\n\r\nb\r\nbody'],
    ['chunks without the last', 'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n'],
  ])
    for (const isReset of [false, true])
      it(`given a request body with ${name} that is truncated by a ${isReset ? 'reset' : 'close'}, when it ends, then no replica receives the request and no response is a success`, async () => {
        await withEdge(respond, async (fixture, replica) => {
          const caller = fixture.caller();
          caller.socket.write(
            `POST ${pathOf('repeatable')}one HTTP/1.1\r\nHost: site.example\r\nTry-Id: one\r\n${text}`,
            () => (isReset ? caller.socket.resetAndDestroy() : caller.socket.end()),
          );
          await untilCallerClosed(caller);
          const next = await fixture.sendRequest('once', 'POST', 'two', 'with length');
          expect([next?.status, replica.requests.map(({ tryId }) => tryId)]).to.deep.equal([200, ['two']]);
          expect(caller.responses(['POST']).some(({ status }) => status < 400)).to.equal(false);
        });
      });

  for (const [method, status] of [
    ['HEAD', '200 OK'],
    ['DELETE', '204 No Content'],
    ['GET', '304 Not Modified'],
  ] as const)
    it(`given a response ${status} to ${method}, which has no body, when the next request follows on the connection, then it gets its own response`, async () => {
      await withEdge(
        (request) => {
          const more = method === 'HEAD' ? ['Content-Length: 20'] : [];
          if (request.tryId === 'one')
            request.socket.write(responseHead(status, 'one', ['Server-Seal: seal-of-one', ...more]));
          else respond(request);
        },
        async (fixture) => {
          const caller = fixture.caller();
          caller.socket.write(requestText('once', method, 'one', 'none'));
          await caller.untilResponses([method]);
          caller.socket.write(requestText('once', 'POST', 'two', 'with length'));
          const responses = await caller.untilResponses([method, 'POST']);
          expect(responses.map((response) => [response.status, response.body])).to.deep.equal([
            [Number(status.slice(0, 3)), ''],
            [200, bodyOf('once', 'two')],
          ]);
        },
      );
    });

  for (const isStarted of [false, true])
    it(`given a request ${isStarted ? 'whose response has started' : 'that is running'}, when its caller sends bytes that form no request, then the edge sends no 400 in place of the replica's response`, async () => {
      await withEdge(
        (request) => {
          if (isStarted) request.socket.write(`${streamHead('one')}${encodeChunk(eventText('one', 1))}`);
        },
        async (fixture, replica) => {
          const caller = fixture.caller();
          caller.socket.write(requestText('stream', 'GET', 'one', 'none'));
          if (isStarted) await caller.until(() => caller.received().includes('id: 1'));
          else await replica.untilFirstRequest();
          caller.socket.write('no request at all\r\n\r\n');
          await untilCallerClosed(caller);
          expect(caller.received()).to.not.include('400 Bad Request');
          expect(caller.responses(['GET']).some(({ isComplete }) => isComplete)).to.equal(false);
        },
      );
    });

  it('given a running request, when its caller starts another and does not finish it, then no 408 is sent in place of its response, since that would mean that it has not run', async () => {
    await withEdge(
      () => {},
      async (fixture, replica) => {
        fixture.edge.ingress.applyLimits({ headerBytes: 16_384, bodyBytes: 65_536, headerMs: 200, idleMs: 15_000 });
        const caller = fixture.caller();
        caller.socket.write(`${requestText('once', 'POST', 'one', 'with length')}GET /half`);
        await replica.untilFirstRequest();
        await untilCallerClosed(caller);
        expect(caller.received()).to.equal('');
        expect(fixture.requestsOf('one').length).to.equal(1);
      },
    );
  }).timeout(15_000);

  it('given an HTTP/1.0 caller, when its response is truncated, then its connection is reset, since a close would look like the end', async () => {
    await withEdge(
      (request) =>
        void request.socket.write(`${streamHead('one')}${encodeChunk(eventText('one', 1))}`, () =>
          request.socket.end(),
        ),
      async (fixture) => {
        const caller = fixture.caller();
        caller.socket.write(requestText('stream', 'GET', 'one', 'none', '1.0'));
        await untilCallerClosed(caller);
        expect([caller.isReset, caller.responses(['GET']).some(({ isComplete }) => isComplete)]).to.deep.equal([
          true,
          false,
        ]);
      },
    );
  });

  it('given a replica that refuses connections, when a request that may run only once arrives, then it is rejected as not run and no replica received it', async () => {
    await withEdge(respond, async (fixture, replica) => {
      replica.close();
      const response = await fixture.sendRequest('once', 'POST', 'one', 'with length');
      expect([response?.status, replica.requests.length]).to.deep.equal([503, 0]);
      expect(response?.head.toLowerCase()).to.include('retry-after');
    });
  });
});
