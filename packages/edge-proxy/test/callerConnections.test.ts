import { expect } from 'chai';
import {
  RawReplica,
  WireStage,
  answerHead,
  chunk,
  eventText,
  pathOf,
  piecesOf,
  properAnswer,
  requestText,
} from './edgeHarness.js';
import type { RawCaller, ReplicaRequest } from './edgeHarness.js';

const answer = (request: ReplicaRequest): void => void request.socket.write(properAnswer(request), 'latin1');
const bodyOf = (kind: 'once' | 'stream', tryId: string): string =>
  piecesOf({ target: pathOf(kind), tryId, lastEventId: 0 }).join('');
const streamHead = (tryId: string): string =>
  answerHead('200 OK', tryId, [`Server-Seal: seal-of-${tryId}`, 'Transfer-Encoding: chunked']);

/** Runs a story on an edge before one replica, and closes both. */
const staged = async (
  script: (request: ReplicaRequest) => void,
  story: (stage: WireStage, replica: RawReplica) => Promise<void>,
): Promise<void> => {
  const replica = new RawReplica('r1', script);
  const stage = await WireStage.open([replica]);
  try {
    await story(stage, replica);
  } finally {
    await stage.close();
  }
};

const closedOf = (request: ReplicaRequest): Promise<void> =>
  new Promise((resolve) => {
    if (request.socket.destroyed) resolve();
    else request.socket.once('close', () => resolve());
  });

/** Collects requests until there are so many. */
const gathered = (count: number) => {
  const requests: ReplicaRequest[] = [];
  let tell: (all: ReplicaRequest[]) => void = () => {};
  const all = new Promise<ReplicaRequest[]>((resolve) => {
    tell = resolve;
  });
  const take = (request: ReplicaRequest): void => {
    requests.push(request);
    if (requests.length === count) tell(requests);
  };
  return { all, take };
};

const closed = (caller: RawCaller): Promise<void> => caller.until(() => caller.isClosed);

describe('one connection of a caller, over real sockets', function () {
  this.timeout(60_000);

  it('given requests sent at once on one connection, when replicas answer them in reverse order, then each gets its own answer, in the order of the requests', async () => {
    const { all, take } = gathered(3);
    await staged(take, async (stage) => {
      const caller = stage.caller();
      caller.socket.write(
        `${requestText('once', 'POST', 'one', 'with length')}${requestText('stream', 'GET', 'two', 'none')}${requestText('once', 'PUT', 'three', 'chunked')}`,
      );
      for (const request of (await all).reverse()) answer(request);
      const answers = await caller.finish(['POST', 'GET', 'PUT']);
      expect(answers.map(({ status, body, isWhole }) => [status, body, isWhole])).to.deep.equal([
        [200, bodyOf('once', 'one'), true],
        [200, bodyOf('stream', 'two'), true],
        [200, bodyOf('once', 'three'), true],
      ]);
    });
  });

  it('given requests sent at once on one connection, when the answer to the first is cut, then the connection ends and none of the others is taken for the rest of it', async () => {
    const { all, take } = gathered(2);
    await staged(take, async (stage) => {
      const caller = stage.caller();
      caller.socket.write(`${requestText('stream', 'GET', 'one', 'none')}${requestText('once', 'PUT', 'two', 'none')}`);
      const requests = await all;
      for (const request of requests) {
        if (request.tryId === 'two') answer(request);
        else request.socket.write(`${streamHead('one')}${chunk(eventText('one', 1))}`, () => request.socket.end());
      }
      await closed(caller);
      expect(caller.answers(['GET', 'PUT']).map(({ body, isWhole }) => [body, isWhole])).to.deep.equal([
        [eventText('one', 1), false],
      ]);
    });
  });

  it('given requests sent at once on one connection, when the caller leaves before any answer, then the work of each ends at its replica', async () => {
    const { all, take } = gathered(2);
    await staged(take, async (stage) => {
      const caller = stage.caller();
      caller.socket.write(`${requestText('stream', 'GET', 'one', 'none')}${requestText('once', 'PUT', 'two', 'none')}`);
      const requests = await all;
      caller.socket.resetAndDestroy();
      await Promise.all(requests.map(closedOf));
      expect(stage.begun('one').length + stage.begun('two').length).to.equal(2);
    });
  }).timeout(8_000);

  it('given a caller that leaves as its answer starts, when the next caller asks, then the work of the first ends and the next gets its own answer', async () => {
    await staged(
      (request) => {
        if (request.tryId === 'one') request.socket.write(`${streamHead('one')}${chunk(eventText('one', 1))}`);
        else answer(request);
      },
      async (stage, replica) => {
        const caller = stage.caller();
        caller.socket.write(requestText('stream', 'GET', 'one', 'none'));
        await caller.until(() => caller.received().length > 0);
        caller.socket.resetAndDestroy();
        await closedOf(replica.begun[0] as ReplicaRequest);
        const next = await stage.ask('once', 'POST', 'two', 'with length');
        expect([next?.status, next?.body, next?.isWhole]).to.deep.equal([200, bodyOf('once', 'two'), true]);
        expect(replica.begun.map(({ tryId }) => tryId)).to.deep.equal(['one', 'two']);
      },
    );
  });

  it('given a caller that closes its sending side after the request, when that may run once, then it is begun once and what the caller gets is whole or does not look so', async () => {
    await staged(answer, async (stage) => {
      const caller = stage.caller();
      caller.socket.end(requestText('once', 'POST', 'one', 'with length'));
      await closed(caller);
      const answers = caller.answers(['POST']);
      expect(stage.begun('one').length).to.be.at.most(1);
      for (const { status, body, isWhole } of answers)
        if (isWhole) expect([status, body]).to.deep.equal([200, bodyOf('once', 'one')]);
    });
  });

  it('given a caller that waits for 100-continue, when it was told to go on, then the replica gets the request without that header, once, and the caller its answer', async () => {
    await staged(answer, async (stage) => {
      const caller = stage.caller();
      caller.socket.write(
        `POST ${pathOf('once')}one HTTP/1.1\r\nHost: site.example\r\nTry-Id: one\r\nExpect: 100-continue\r\nContent-Length: 11\r\n\r\n`,
      );
      await caller.until(() => caller.received().includes('100 Continue'));
      expect(stage.begun('one').length).to.equal(0);
      caller.socket.write('body of one');
      const [told] = await caller.finish(['POST']);
      expect([told?.status, told?.body]).to.deep.equal([200, bodyOf('once', 'one')]);
      expect(stage.begun('one').map(({ body }) => body)).to.deep.equal(['body of one']);
    });
  });

  for (const [name, text] of [
    ['a length', 'Content-Length: 11\r\n\r\nbody'],
    ['chunks', 'Transfer-Encoding: chunked\r\n\r\nb\r\nbody'],
    ['chunks without the last', 'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n'],
  ])
    for (const isReset of [false, true])
      it(`given a body with ${name} that is cut short by a ${isReset ? 'reset' : 'close'}, when it ends, then no replica begins it and no answer is a success`, async () => {
        await staged(answer, async (stage, replica) => {
          const caller = stage.caller();
          caller.socket.write(
            `POST ${pathOf('repeatable')}one HTTP/1.1\r\nHost: site.example\r\nTry-Id: one\r\n${text}`,
            () => (isReset ? caller.socket.resetAndDestroy() : caller.socket.end()),
          );
          await closed(caller);
          const after = await stage.ask('once', 'POST', 'two', 'with length');
          expect([after?.status, replica.begun.map(({ tryId }) => tryId)]).to.deep.equal([200, ['two']]);
          expect(caller.answers(['POST']).some(({ status }) => status < 400)).to.equal(false);
        });
      });

  for (const [method, status] of [
    ['HEAD', '200 OK'],
    ['DELETE', '204 No Content'],
    ['GET', '304 Not Modified'],
  ] as const)
    it(`given an answer ${status} to ${method}, which has no body, when the next request follows on the connection, then it gets its own answer`, async () => {
      await staged(
        (request) => {
          const more = method === 'HEAD' ? ['Content-Length: 20'] : [];
          if (request.tryId === 'one')
            request.socket.write(answerHead(status, 'one', ['Server-Seal: seal-of-one', ...more]));
          else answer(request);
        },
        async (stage) => {
          const caller = stage.caller();
          caller.socket.write(requestText('once', method, 'one', 'none'));
          await caller.finish([method]);
          caller.socket.write(requestText('once', 'POST', 'two', 'with length'));
          const answers = await caller.finish([method, 'POST']);
          expect(answers.map((one) => [one.status, one.body])).to.deep.equal([
            [Number(status.slice(0, 3)), ''],
            [200, bodyOf('once', 'two')],
          ]);
        },
      );
    });

  for (const isStarted of [false, true])
    it(`given a request ${isStarted ? 'whose answer has begun' : 'that runs'}, when its caller sends bytes that form no request, then no answer of the edge is given in its place`, async () => {
      await staged(
        (request) => {
          if (isStarted) request.socket.write(`${streamHead('one')}${chunk(eventText('one', 1))}`);
        },
        async (stage, replica) => {
          const caller = stage.caller();
          caller.socket.write(requestText('stream', 'GET', 'one', 'none'));
          if (isStarted) await caller.until(() => caller.received().includes('id: 1'));
          else await replica.untilBegun();
          caller.socket.write('no request at all\r\n\r\n');
          await closed(caller);
          expect(caller.received()).to.not.include('400 Bad Request');
          expect(caller.answers(['GET']).some(({ isWhole }) => isWhole)).to.equal(false);
        },
      );
    });

  it('given a request that runs, when its caller begins another and does not go on with it, then no 408 is given in its place, since that would promise that it has not run', async () => {
    await staged(
      () => {},
      async (stage, replica) => {
        stage.edge.ingress.applyLimits({ headerBytes: 16_384, bodyBytes: 65_536, headerMs: 200, idleMs: 15_000 });
        const caller = stage.caller();
        caller.socket.write(`${requestText('once', 'POST', 'one', 'with length')}GET /half`);
        await replica.untilBegun();
        await closed(caller);
        expect(caller.received()).to.equal('');
        expect(stage.begun('one').length).to.equal(1);
      },
    );
  }).timeout(15_000);

  it('given a caller of HTTP/1.0, when the answer to it is cut, then its connection is reset, since a close would look like the end', async () => {
    await staged(
      (request) =>
        void request.socket.write(`${streamHead('one')}${chunk(eventText('one', 1))}`, () => request.socket.end()),
      async (stage) => {
        const caller = stage.caller();
        caller.socket.write(requestText('stream', 'GET', 'one', 'none', '1.0'));
        await closed(caller);
        expect([caller.isReset, caller.answers(['GET']).some(({ isWhole }) => isWhole)]).to.deep.equal([true, false]);
      },
    );
  });

  it('given a replica that refuses connections, when a request that may run once comes, then it is refused as not run and nothing began', async () => {
    await staged(answer, async (stage, replica) => {
      replica.close();
      const told = await stage.ask('once', 'POST', 'one', 'with length');
      expect([told?.status, replica.begun.length]).to.deep.equal([503, 0]);
      expect(told?.head.toLowerCase()).to.include('retry-after');
    });
  });
});
