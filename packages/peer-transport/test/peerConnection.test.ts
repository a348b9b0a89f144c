import { expect } from 'chai';
import type { Result } from 'neverthrow';
import type { RawConnection } from '@martenworks/core-types';
import { FrameDecoder, frames, hellos, peerConnections } from '@martenworks/peer-transport';
import type { PeerHandlers, Hello, PeerConnection, PeerError } from '@martenworks/peer-transport';
import { SimWorld } from '@martenworks/test-fleet';

const nearHost = '10.0.0.1';
const farHost = '10.0.0.2';
const farAddress = `${farHost}:7640`;
const slowLinkBytesPerSecond = 7_000_000 / 8;

type Reply = Result<unknown, PeerError>;

interface ObservedReply {
  reply: Reply | null;
  at: number;
}

interface ReceivedMessage {
  readonly topic: string;
  readonly body: unknown;
  readonly at: number;
}

const helloOf = (host: string, incarnation = host): Hello =>
  hellos.of(
    'control',
    { name: host, peerAddress: `${host}:7640`, http: `${host}:8200`, operators: null, zone: 'zone-a' },
    incarnation,
  );

const bytesOf = (count: number, multiplier = 7): Uint8Array =>
  Uint8Array.from({ length: count }, (_, at) => (at * multiplier + (at >> 8)) & 255);

/**
 * Two machines with a connection between them. The far one records received messages, and `answer` handles its calls.
 */
class ConnectedPair {
  readonly world = new SimWorld(11);
  readonly received: ReceivedMessage[] = [];
  readonly connections: PeerConnection[] = [];
  answer: (topic: string, body: unknown) => Promise<unknown> = async (_, body) => body;

  private readonly handlers = (): PeerHandlers => ({
    onMessage: (_, topic, body) => void this.received.push({ topic, body, at: this.world.time }),
    onCall: (_, topic, body) => this.answer(topic, body),
    onOpen: () => {},
    onClose: () => {},
  });

  readonly listen = async (incarnation = farHost): Promise<void> => {
    const { net, clock, log } = this.world.machine(farHost).ports();
    const own = (): Hello => helloOf(farHost, incarnation);
    (await peerConnections.listen(net, clock, log, own, farAddress, this.handlers()))._unsafeUnwrap();
  };

  readonly dial = async (): Promise<PeerConnection> => {
    const { net, clock, log } = this.world.machine(nearHost).ports();
    const noHandlers: PeerHandlers = {
      onMessage: () => {},
      onCall: async () => null,
      onOpen: () => {},
      onClose: () => {},
    };
    void peerConnections
      .dial(net, clock, log, helloOf(nearHost), farAddress, noHandlers)
      .then((dialed) => this.connections.push(dialed._unsafeUnwrap()));
    const count = this.connections.length;
    await this.world.until('a connection', () => this.connections.length > count);
    return this.connections[count] as PeerConnection;
  };

  readonly call = (connection: PeerConnection, topic: string, body: unknown, timeoutMs: number): ObservedReply => {
    const observed: ObservedReply = { reply: null, at: 0 };
    void connection
      .call(topic, body, timeoutMs)
      .then((reply) => Object.assign(observed, { reply, at: this.world.time }));
    return observed;
  };

  readonly pause = (forMs: number): Promise<void> =>
    new Promise((resolve) => void this.world.machine(farHost).clock().after(forMs, resolve));

  readonly droppedConnections = (): unknown[] =>
    this.world.logLines.filter(({ message }) => message === 'connection dropped');
}

const connectedPair = async (): Promise<{ pair: ConnectedPair; connection: PeerConnection }> => {
  const pair = new ConnectedPair();
  await pair.listen();
  const connection = await pair.dial();
  return { pair, connection };
};

const codeOf = (observed: ObservedReply): string | null =>
  observed.reply === null ? null : observed.reply.isErr() ? observed.reply.error.code : 'ok';

describe('large messages on a connection', () => {
  it('given a message of 3 MB on a link of 7 Mbit/s, when pings are sent meanwhile, then each is answered within 250 ms and the message takes at most 10% longer than the link needs', async () => {
    const { pair, connection } = await connectedPair();
    pair.world.limitBandwidth(farHost, slowLinkBytesPerSecond);
    const startedAt = pair.world.time;
    connection.send('state', bytesOf(3_000_000));
    const pings: { sentAt: number; observed: ObservedReply }[] = [];
    for (let count = 0; count < 10; count += 1) {
      pings.push({ sentAt: pair.world.time, observed: pair.call(connection, 'ping', null, 900) });
      await pair.world.run(300);
    }
    await pair.world.until('the body', () => pair.received.length === 1);
    expect(pings.map(({ observed }) => codeOf(observed))).to.deep.equal(pings.map(() => 'ok'));
    expect(Math.max(...pings.map(({ sentAt, observed }) => observed.at - sentAt))).to.be.below(250);
    expect((pair.received[0]?.at ?? Infinity) - startedAt).to.be.below(
      (3_000_000 / slowLinkBytesPerSecond) * 1_000 * 1.1,
    );
    expect(Buffer.from(pair.received[0]?.body as Uint8Array).equals(bytesOf(3_000_000))).to.equal(true);
  });

  it('given a call or a reply of 3 MB on a link of 7 Mbit/s, when the transfer makes progress, then the call does not end at its timeout of 700 ms', async () => {
    for (const isReplyLarge of [true, false]) {
      const { pair, connection } = await connectedPair();
      pair.world.limitBandwidth(farHost, slowLinkBytesPerSecond);
      pair.answer = async () => (isReplyLarge ? bytesOf(3_000_000) : 'taken');
      const observed = pair.call(connection, 'since', isReplyLarge ? 1 : bytesOf(3_000_000), 700);
      await pair.world.run(6_000);
      expect([isReplyLarge, codeOf(observed)]).to.deep.equal([isReplyLarge, 'ok']);
    }
  });

  it('given a reply that has partly arrived, when the network is partitioned, then the call ends after its timeout without progress', async () => {
    const { pair, connection } = await connectedPair();
    pair.world.limitBandwidth(farHost, slowLinkBytesPerSecond);
    pair.answer = async () => bytesOf(3_000_000);
    const observed = pair.call(connection, 'since', 1, 700);
    await pair.world.run(1_500);
    const partitionedAt = pair.world.time;
    pair.world.partition(nearHost, farHost);
    await pair.world.run(3_000);
    expect(codeOf(observed)).to.equal('timeout');
    expect(observed.at - partitionedAt).to.be.within(500, 750);
  });

  it('given a peer that reads as fast as its link allows, when more than 8 MB are queued for it, then the connection stays open and everything arrives', async () => {
    const { pair, connection } = await connectedPair();
    pair.world.limitBandwidth(farHost, slowLinkBytesPerSecond);
    for (const multiplier of [3, 5, 9]) connection.send('prefixCaches', bytesOf(4_000_000, multiplier));
    for (let count = 0; count < 16; count += 1) {
      connection.send('stateAnnounced', count);
      await pair.world.run(1_000);
    }
    expect(pair.droppedConnections()).to.deep.equal([]);
    expect(connection.isLive()).to.equal(true);
    expect(pair.received.filter(({ topic }) => topic === 'prefixCaches').length).to.equal(3);
  });

  it('given a peer that reads nothing, when messages are sent to it continuously, then the connection is dropped before 45 MB are queued', async () => {
    const { pair, connection } = await connectedPair();
    pair.world.limitBandwidth(farHost, slowLinkBytesPerSecond);
    pair.world.machine(farHost).freeze();
    let count = 0;
    for (; connection.isLive() && count < 100; count += 1) {
      connection.send('prefixCaches', bytesOf(1_000_000));
      await pair.world.run(100);
    }
    expect(count).to.be.below(45);
    expect(pair.droppedConnections().length).to.equal(1);
  });

  it('given a large message in transfer, when a smaller one on another stream follows, then they share the link and the smaller one arrives first', async () => {
    const { pair, connection } = await connectedPair();
    pair.world.limitBandwidth(farHost, slowLinkBytesPerSecond);
    connection.send('prefixCaches', bytesOf(2_000_000));
    connection.send('state', bytesOf(100_000));
    await pair.world.until('both', () => pair.received.length === 2);
    expect(pair.received.map(({ topic }) => topic)).to.deep.equal(['state', 'prefixCaches']);
  });

  it('given large and small messages on one stream, when they are sent one after another, then they arrive in that order', async () => {
    const { pair, connection } = await connectedPair();
    pair.world.limitBandwidth(farHost, slowLinkBytesPerSecond);
    for (const topic of ['prefixCaches', 'prefill'])
      for (const size of [200_000, 1, 100_000, 2, 3]) connection.send(topic, bytesOf(size));
    await pair.world.until('all', () => pair.received.length === 10);
    for (const topic of ['prefixCaches', 'prefill'])
      expect(
        pair.received.filter((message) => message.topic === topic).map(({ body }) => (body as Uint8Array).length),
      ).to.deep.equal([200_000, 1, 100_000, 2, 3]);
  });
});

describe('calls between nodes', () => {
  it('given a call that has timed out, when its reply arrives, then the reply is ignored and the next call gets its own', async () => {
    const { pair, connection } = await connectedPair();
    pair.answer = async (_, body) => {
      if (body === 'first') await pair.pause(800);
      return `reply to ${body}`;
    };
    const first = pair.call(connection, 'memberList', 'first', 500);
    await pair.world.run(600);
    const second = pair.call(connection, 'memberList', 'second', 500);
    await pair.world.run(1_000);
    expect(codeOf(first)).to.equal('timeout');
    expect(second.reply?._unsafeUnwrap()).to.equal('reply to second');
  });

  it('given a peer that replies twice with one id and with unknown ids, when several calls are pending, then each gets the first reply with its own id', async () => {
    const pair = new ConnectedPair();
    const { net } = pair.world.machine(farHost).ports();
    const acceptedConnections: RawConnection[] = [];
    (
      await net.listen(farAddress, (accepted) => {
        acceptedConnections.push(accepted);
        accepted.write(frames.encodeFrame({ f: 'hello', hello: helloOf(farHost) }));
        const decoder = new FrameDecoder(
          (message) => {
            const { f, id, body } = message as { f: string; id: number; body: string };
            if (f !== 'ask') return;
            for (const [replyId, text] of [
              [id + 50, 'stray'],
              [id, `reply to ${body}`],
              [id, 'once more'],
              [id - 1, 'of the one before'],
            ])
              accepted.write(frames.encodeFrame({ f: 'reply', id: replyId, body: text }));
          },
          () => {},
        );
        accepted.listen(decoder.push, () => {});
      })
    )._unsafeUnwrap();
    const connection = await pair.dial();
    const calls = ['a', 'b', 'c'].map((body) => pair.call(connection, 'memberList', body, 500));
    await pair.world.run(1_000);
    expect(calls.map(({ reply }) => reply?._unsafeUnwrap())).to.deep.equal(['reply to a', 'reply to b', 'reply to c']);
  });

  it('given a pending call, when the peer restarts at the same address and is dialled again, then the call ends with closed and no reply of the old process reaches a call on the new connection', async () => {
    const { pair, connection } = await connectedPair();
    pair.answer = async (_, body) => {
      await pair.pause(300);
      return `old reply to ${body}`;
    };
    const interrupted = pair.call(connection, 'memberList', 'lost', 5_000);
    await pair.world.run(100);
    pair.world.machine(farHost).kill();
    await pair.world.run(20);
    pair.world.machine(farHost).boot();
    pair.answer = async (_, body) => `new reply to ${body}`;
    await pair.listen('second life');
    const next = await pair.dial();
    const current = pair.call(next, 'memberList', 'fresh', 5_000);
    await pair.world.run(1_000);
    expect(codeOf(interrupted)).to.equal('closed');
    expect(current.reply?._unsafeUnwrap()).to.equal('new reply to fresh');
    expect(next.peer?.incarnation).to.equal('second life');
  });

  it('given a connection that is replaced while the peer keeps running, when the reply to a call on the old one is ready, then it is not sent', async () => {
    const { pair, connection } = await connectedPair();
    pair.answer = async (_, body) => {
      await pair.pause(body === 'old' ? 500 : 900);
      return `reply to ${body}`;
    };
    const old = pair.call(connection, 'memberList', 'old', 5_000);
    await pair.world.run(50);
    connection.close();
    const next = await pair.dial();
    const current = pair.call(next, 'memberList', 'fresh', 5_000);
    await pair.world.run(2_000);
    expect(codeOf(old)).to.equal('closed');
    expect(current.reply?._unsafeUnwrap()).to.equal('reply to fresh');
  });

  it('given a peer that sends a frame of unknown kind, when it is received, then the connection is closed and the cause is logged', async () => {
    for (const invalid of [null, 'text', { f: 'other' }, { f: 7 }]) {
      const pair = new ConnectedPair();
      const { net } = pair.world.machine(farHost).ports();
      const acceptedConnections: RawConnection[] = [];
      (
        await net.listen(farAddress, (accepted) => {
          acceptedConnections.push(accepted);
          accepted.write(frames.encodeFrame({ f: 'hello', hello: helloOf(farHost) }));
        })
      )._unsafeUnwrap();
      const connection = await pair.dial();
      acceptedConnections[0]?.write(frames.encodeFrame(invalid));
      await pair.world.run(50);
      expect([invalid, connection.isLive(), pair.droppedConnections().length]).to.deep.equal([invalid, false, 1]);
    }
  });
});
