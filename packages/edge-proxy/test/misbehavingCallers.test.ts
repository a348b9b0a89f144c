import type { Server } from 'node:http';
import { expect } from 'chai';
import {
  EdgeFixture,
  RawReplica,
  encodeChunk,
  longTimeouts,
  pathOf,
  requestText,
  responseHead,
  validResponse,
} from './edgeHarness.js';
import type { FixtureLimits, RawCaller, ReplicaRequest, Timeouts } from './edgeHarness.js';

const mebibyte = 1_048_576;
const bodyBytes = 4 * mebibyte;
/** The process has room for two bodies of the limit: 8 MiB, the least of any process. */
const smallProcess: FixtureLimits = { memoryMb: 16, bodyBytes };
const respond = (request: ReplicaRequest): void => void request.socket.write(validResponse(request), 'latin1');

/** Runs a scenario on an edge in front of replicas that answer with `script`, then closes both. */
const withEdge = async (
  options: { limits?: FixtureLimits; timeouts?: Timeouts; script?: (request: ReplicaRequest) => void },
  scenario: (fixture: EdgeFixture, replica: RawReplica) => Promise<void>,
): Promise<void> => {
  const replica = new RawReplica('r1', options.script ?? respond);
  const fixture = await EdgeFixture.open([replica], options.timeouts ?? longTimeouts, options.limits);
  try {
    await scenario(fixture, replica);
  } finally {
    await fixture.close();
  }
};

const chunkedHead = (tryId: string): string =>
  `POST ${pathOf('once')}${tryId} HTTP/1.1\r\nHost: site.example\r\nTry-Id: ${tryId}\r\nTransfer-Encoding: chunked\r\n\r\n`;

/** Sends a chunked request whose body of `bytes` bytes does not end. */
const sendUnfinished = (caller: RawCaller, tryId: string, bytes: number): void => {
  caller.socket.write(chunkedHead(tryId));
  for (let sent = 0; sent < bytes; sent += 65_536) caller.socket.write(encodeChunk('x'.repeat(65_536)));
};

/** Sends an endless chunked body as fast as it is read; `sentBytes` counts what has left the caller's process. */
const sendEndlessly = (caller: RawCaller, head: string): { readonly sentBytes: () => number } => {
  let sent = 0;
  const part = encodeChunk('x'.repeat(65_536));
  const send = (cause?: Error | null): void => {
    if (cause instanceof Error || caller.socket.destroyed) return;
    sent += part.length;
    caller.socket.write(part, send);
  };
  caller.socket.write(head, send);
  return { sentBytes: () => sent };
};

const memoryOf = (fixture: EdgeFixture) => fixture.edge.ingress.status().memory;

const until = async (test: () => boolean): Promise<void> => {
  while (!test()) await new Promise((resolve) => setTimeout(resolve, 10));
};

describe('callers that do not behave, over real sockets', function () {
  this.timeout(60_000);

  it('given bodies that fill the process, when another body arrives, then the oldest gets 503 with Retry-After and the others are served whole', async () => {
    await withEdge({ limits: smallProcess }, async (fixture) => {
      const callers = [fixture.caller(), fixture.caller(), fixture.caller()];
      for (const [at, caller] of callers.entries()) {
        sendUnfinished(caller, `body-${at}`, 3 * mebibyte);
        await until(() => memoryOf(fixture).usedBytes > Math.min(2, at + 1) * 2.9 * mebibyte);
      }
      const [oldest, ...others] = callers as [RawCaller, RawCaller, RawCaller];
      const [refused] = await oldest.untilResponses(['POST']);
      expect([refused?.status, refused?.isComplete]).to.deep.equal([503, true]);
      expect(oldest.received()).to.match(/\r\nRetry-After: \d/i);
      for (const other of others) other.socket.write('0\r\n\r\n');
      for (const other of others) expect((await other.untilResponses(['POST']))[0]?.status).to.equal(200);
      expect(fixture.requestsOf('body-0')).to.deep.equal([]);
      expect(fixture.requestsOf('body-1').length + fixture.requestsOf('body-2').length).to.equal(2);
    });
  });

  it('given a request whose body fills most of the process, when its replica fails, then the request is sent again whole', async () => {
    let attempts = 0;
    const failFirst = (request: ReplicaRequest): void => {
      attempts += 1;
      if (attempts === 1) request.socket.destroy();
      else respond(request);
    };
    const second = new RawReplica('r2', failFirst);
    const first = new RawReplica('r1', failFirst);
    const fixture = await EdgeFixture.open([first, second], longTimeouts, smallProcess);
    try {
      const crowd = [fixture.caller(), fixture.caller()];
      const caller = fixture.caller();
      const body = 'y'.repeat(3 * mebibyte);
      caller.socket.write(
        `PUT ${pathOf('repeatable')}again HTTP/1.1\r\nHost: site.example\r\nTry-Id: again\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
      for (const [at, one] of crowd.entries()) sendUnfinished(one, `crowd-${at}`, 4 * mebibyte - 65_536);
      const [response] = await caller.untilResponses(['PUT']);
      expect(response?.status).to.equal(200);
      expect(fixture.requestsOf('again').map((request) => request.body.length)).to.deep.equal([
        body.length,
        body.length,
      ]);
    } finally {
      await fixture.close();
    }
  });

  it('given a body that pauses, when the pause is longer than the idle timeout, then the caller gets 408 with Retry-After and nothing runs', async () => {
    await withEdge({ limits: { idleMs: 1_000 } }, async (fixture) => {
      const caller = fixture.caller();
      caller.socket.write(`${chunkedHead('paused')}${encodeChunk('some')}`);
      const [response] = await caller.untilResponses(['POST']);
      expect([response?.status, response?.isComplete]).to.deep.equal([408, true]);
      expect(caller.received()).to.match(/\r\nRetry-After: \d/i);
      expect(fixture.requestsOf('paused')).to.deep.equal([]);
      expect(memoryOf(fixture).usedBytes).to.equal(0);
    });
  });

  it('given a body over the limit, when it is refused, then its caller can read the response, and the rest is not read beyond the limit', async () => {
    await withEdge({ limits: { bodyBytes: mebibyte } }, async (fixture) => {
      const caller = fixture.caller();
      const body = sendEndlessly(caller, chunkedHead('over'));
      const [response] = await caller.untilResponses(['POST']);
      expect([response?.status, response?.isComplete]).to.deep.equal([413, true]);
      await caller.until(() => caller.isClosed);
      expect(body.sentBytes()).to.be.below(32 * mebibyte);
    });
  });

  it('given a request for an unknown route, when its body does not end, then the connection is closed within the body limit', async () => {
    await withEdge({ limits: { bodyBytes: mebibyte } }, async (fixture) => {
      const caller = fixture.caller();
      const body = sendEndlessly(caller, chunkedHead('none').replace(pathOf('once'), '/none/'));
      await caller.until(() => caller.isClosed);
      expect(body.sentBytes()).to.be.below(32 * mebibyte);
      expect(caller.received()).to.match(/^HTTP\/1\.1 404 /);
    });
  });

  it('given a request for an unknown route with a short body, when it is refused, then its connection serves the next request', async () => {
    await withEdge({}, async (fixture) => {
      const caller = fixture.caller();
      caller.socket.write(
        `POST /none/ HTTP/1.1\r\nHost: site.example\r\nTry-Id: none\r\nContent-Length: 4\r\n\r\nbody${requestText('once', 'POST', 'next', 'with length')}`,
      );
      const responses = await caller.untilResponses(['POST', 'POST']);
      expect(responses.map(({ status }) => status)).to.deep.equal([404, 200]);
    });
  });

  it('given more pipelined requests than a connection may have, when their responses are not read, then the connection is closed and others are served', async () => {
    await withEdge({ script: () => {} }, async (fixture, replica) => {
      const caller = fixture.caller();
      caller.socket.write(
        Array.from({ length: 200 }, (_, at) => requestText('once', 'GET', `p-${at}`, 'none')).join(''),
      );
      await caller.until(() => caller.isClosed);
      await until(() => memoryOf(fixture).requests === 0);
      expect(replica.requests.length).to.be.at.most(64);
    });
  });

  it('given a caller that does not read its response, when the deadline passes, then the request ends, its memory is free and the replica is not blamed', async () => {
    const endless = (request: ReplicaRequest): void => {
      if (request.tryId !== 'unread') {
        respond(request);
        return;
      }
      const part = 'z'.repeat(mebibyte);
      request.socket.write(
        responseHead('200 OK', request.tryId, ['Server-Seal: seal-of-unread', 'Transfer-Encoding: chunked']),
      );
      const send = (): void => {
        while (!request.socket.destroyed && request.socket.write(encodeChunk(part)));
      };
      request.socket.on('drain', send);
      send();
    };
    await withEdge({ script: endless, timeouts: { timeoutMs: 2_000, targetMs: 1_000 } }, async (fixture, replica) => {
      const caller = fixture.caller();
      caller.socket.pause();
      caller.socket.write(requestText('stream', 'GET', 'unread', 'none'));
      await until(() => replica.requests.length > 0);
      await until(() => fixture.edge.inFlightRequests.size === 0);
      await until(() => memoryOf(fixture).requests === 0);
      expect(fixture.edge.metrics.all().responses_unread).to.equal(1);
      const next = await fixture.sendRequest('once', 'POST', 'next', 'with length');
      expect(next?.status).to.equal(200);
    });
  });

  it('given more silent connections than the process may have, when a caller connects, then it is served and the oldest connections are closed', async () => {
    await withEdge({ limits: { openFiles: 64 } }, async (fixture) => {
      const { limit } = fixture.edge.ingress.status().connections;
      const silent = Array.from({ length: limit + 20 }, () => fixture.caller());
      await until(() => silent.filter((caller) => caller.isClosed).length >= 20);
      expect(fixture.edge.ingress.status().connections.open).to.be.at.most(limit);
      const response = await fixture.sendRequest('once', 'POST', 'one', 'with length');
      expect(response?.status).to.equal(200);
      expect((silent.at(-1) as RawCaller).isClosed).to.equal(false);
    });
  });

  it('given connections that cannot be accepted, when that happens more than once, then the edge lives and serves the next caller', async () => {
    await withEdge({}, async (fixture) => {
      const { server } = fixture.edge.ingress as unknown as { readonly server: Server };
      for (let at = 0; at < 3; at += 1)
        server.emit('error', Object.assign(new Error('accept EMFILE'), { code: 'EMFILE' }));
      const response = await fixture.sendRequest('once', 'POST', 'next', 'with length');
      expect(response?.status).to.equal(200);
    });
  });

  it('given a replica that rejects a request with a body that does not end, when the edge discards it, then it reads no more than a bounded part', async () => {
    let sentBytes = 0;
    let isClosed = false;
    const rejectEndlessly = (request: ReplicaRequest): void => {
      if (request.tryId !== 'rejected') {
        respond(request);
        return;
      }
      const part = encodeChunk('r'.repeat(1_024));
      const send = (cause?: Error | null): void => {
        if (cause instanceof Error || request.socket.destroyed) return;
        sentBytes += part.length;
        request.socket.write(part, send);
      };
      request.socket.on('close', () => {
        isClosed = true;
      });
      request.socket.write(
        responseHead('503 Service Unavailable', request.tryId, ['Not-Run: 1', 'Transfer-Encoding: chunked']),
        send,
      );
    };
    await withEdge({ script: rejectEndlessly }, async (fixture) => {
      const response = await fixture.sendRequest('once', 'POST', 'rejected', 'with length');
      expect(response?.status).to.equal(503);
      await until(() => isClosed);
      expect(sentBytes).to.be.below(16 * mebibyte);
    });
  });

  it('given headers that do not end, when their time is over, then the caller gets 408 with Retry-After', async () => {
    await withEdge({}, async (fixture) => {
      fixture.edge.ingress.applyLimits({ headerBytes: 16_384, bodyBytes: 65_536, headerMs: 200, idleMs: 15_000 });
      const caller = fixture.caller();
      caller.socket.write('POST /once/ HTTP/1.1\r\nHost: site');
      await caller.until(() => caller.isClosed);
      expect(caller.received()).to.match(/^HTTP\/1\.1 408 .*\r\nRetry-After: 0\.25\r\n/);
    });
  });
});
