import { expect } from 'chai';
import type { Result } from 'neverthrow';
import type { RawConnection } from '@martenworks/core-types';
import { FrameDecoder, frames, hellos, peerConnections } from '@martenworks/peer-transport';
import type { PeerHandlers, Hello, PeerConnection, PeerError } from '@martenworks/peer-transport';
import { SimWorld } from '@martenworks/test-fleet';

const nearHost = '10.0.0.1';
const farHost = '10.0.0.2';
const farAddress = `${farHost}:7640`;
const narrowBytesPerSecond = 7_000_000 / 8;

type Reply = Result<unknown, PeerError>;

interface Seen {
  reply: Reply | null;
  at: number;
}

interface Told {
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

const bytesOf = (count: number, mark = 7): Uint8Array =>
  Uint8Array.from({ length: count }, (_, at) => (at * mark + (at >> 8)) & 255);

/** Two machines with one connection between them; what the far one is told is kept, what it is asked is answered by `answer`. */
class Pair {
  readonly world = new SimWorld(11);
  readonly told: Told[] = [];
  readonly connections: PeerConnection[] = [];
  answer: (topic: string, body: unknown) => Promise<unknown> = async (_, body) => body;

  private readonly handlers = (): PeerHandlers => ({
    onMessage: (_, topic, body) => void this.told.push({ topic, body, at: this.world.time }),
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
    const quiet: PeerHandlers = { onMessage: () => {}, onCall: async () => null, onOpen: () => {}, onClose: () => {} };
    void peerConnections
      .dial(net, clock, log, helloOf(nearHost), farAddress, quiet)
      .then((dialed) => this.connections.push(dialed._unsafeUnwrap()));
    const count = this.connections.length;
    await this.world.until('a connection', () => this.connections.length > count);
    return this.connections[count] as PeerConnection;
  };

  readonly ask = (connection: PeerConnection, topic: string, body: unknown, timeoutMs: number): Seen => {
    const seen: Seen = { reply: null, at: 0 };
    void connection.call(topic, body, timeoutMs).then((reply) => Object.assign(seen, { reply, at: this.world.time }));
    return seen;
  };

  readonly pause = (forMs: number): Promise<void> =>
    new Promise((wake) => void this.world.machine(farHost).clock().after(forMs, wake));

  readonly dropped = (): unknown[] => this.world.logLines.filter(({ message }) => message === 'connection dropped');
}

const paired = async (): Promise<{ pair: Pair; connection: PeerConnection }> => {
  const pair = new Pair();
  await pair.listen();
  const connection = await pair.dial();
  return { pair, connection };
};

const codeOf = (seen: Seen): string | null =>
  seen.reply === null ? null : seen.reply.isErr() ? seen.reply.error.code : 'ok';

describe('large bodies on a connection', () => {
  it('given a body of 3 MB on a link of 7 Mbit/s, when pings go with it, then each comes back soon and the body takes hardly longer than the link needs', async () => {
    const { pair, connection } = await paired();
    pair.world.limitBandwidth(farHost, narrowBytesPerSecond);
    const began = pair.world.time;
    connection.send('state', bytesOf(3_000_000));
    const pings: { asked: number; seen: Seen }[] = [];
    for (let count = 0; count < 10; count += 1) {
      pings.push({ asked: pair.world.time, seen: pair.ask(connection, 'ping', null, 900) });
      await pair.world.run(300);
    }
    await pair.world.until('the body', () => pair.told.length === 1);
    expect(pings.map(({ seen }) => codeOf(seen))).to.deep.equal(pings.map(() => 'ok'));
    expect(Math.max(...pings.map(({ asked, seen }) => seen.at - asked))).to.be.below(250);
    expect((pair.told[0]?.at ?? Infinity) - began).to.be.below((3_000_000 / narrowBytesPerSecond) * 1_000 * 1.1);
    expect(Buffer.from(pair.told[0]?.body as Uint8Array).equals(bytesOf(3_000_000))).to.equal(true);
  });

  it('given a reply, and a question, of 3 MB on a link of 7 Mbit/s, when they go on, then a patience of 700 ms does not end them', async () => {
    for (const isReplyLarge of [true, false]) {
      const { pair, connection } = await paired();
      pair.world.limitBandwidth(farHost, narrowBytesPerSecond);
      pair.answer = async () => (isReplyLarge ? bytesOf(3_000_000) : 'taken');
      const seen = pair.ask(connection, 'since', isReplyLarge ? 1 : bytesOf(3_000_000), 700);
      await pair.world.run(6_000);
      expect([isReplyLarge, codeOf(seen)]).to.deep.equal([isReplyLarge, 'ok']);
    }
  });

  it('given a transfer that stops half way, when nothing more comes, then the ask ends once its patience has passed without progress', async () => {
    const { pair, connection } = await paired();
    pair.world.limitBandwidth(farHost, narrowBytesPerSecond);
    pair.answer = async () => bytesOf(3_000_000);
    const seen = pair.ask(connection, 'since', 1, 700);
    await pair.world.run(1_500);
    const cutAt = pair.world.time;
    pair.world.partition(nearHost, farHost);
    await pair.world.run(3_000);
    expect(codeOf(seen)).to.equal('timeout');
    expect(seen.at - cutAt).to.be.within(500, 750);
  });

  it("given a peer that reads at its link's pace, when more than 8 MB wait for it, then it is not cut and gets all of it", async () => {
    const { pair, connection } = await paired();
    pair.world.limitBandwidth(farHost, narrowBytesPerSecond);
    for (const mark of [3, 5, 9]) connection.send('prefixCaches', bytesOf(4_000_000, mark));
    for (let count = 0; count < 16; count += 1) {
      connection.send('stateAnnounced', count);
      await pair.world.run(1_000);
    }
    expect(pair.dropped()).to.deep.equal([]);
    expect(connection.isLive()).to.equal(true);
    expect(pair.told.filter(({ topic }) => topic === 'prefixCaches').length).to.equal(3);
  });

  it('given a peer that reads nothing, when ever more is told to it, then it is cut before much memory is held for it', async () => {
    const { pair, connection } = await paired();
    pair.world.limitBandwidth(farHost, narrowBytesPerSecond);
    pair.world.machine(farHost).freeze();
    let count = 0;
    for (; connection.isLive() && count < 100; count += 1) {
      connection.send('prefixCaches', bytesOf(1_000_000));
      await pair.world.run(100);
    }
    expect(count).to.be.below(45);
    expect(pair.dropped().length).to.equal(1);
  });

  it('given a large body under way, when a smaller one of another kind follows, then they share the link and the smaller one is there first', async () => {
    const { pair, connection } = await paired();
    pair.world.limitBandwidth(farHost, narrowBytesPerSecond);
    connection.send('prefixCaches', bytesOf(2_000_000));
    connection.send('state', bytesOf(100_000));
    await pair.world.until('both', () => pair.told.length === 2);
    expect(pair.told.map(({ topic }) => topic)).to.deep.equal(['state', 'prefixCaches']);
  });

  it('given large and small messages of one kind, when they are told one after another, then they arrive in that order', async () => {
    const { pair, connection } = await paired();
    pair.world.limitBandwidth(farHost, narrowBytesPerSecond);
    for (const topic of ['prefixCaches', 'prefill'])
      for (const size of [200_000, 1, 100_000, 2, 3]) connection.send(topic, bytesOf(size));
    await pair.world.until('all', () => pair.told.length === 10);
    for (const topic of ['prefixCaches', 'prefill'])
      expect(
        pair.told.filter((told) => told.topic === topic).map(({ body }) => (body as Uint8Array).length),
      ).to.deep.equal([200_000, 1, 100_000, 2, 3]);
  });
});

describe('replies between nodes', () => {
  it('given an ask that was given up, when its reply comes late, then nobody gets it and the next ask gets its own', async () => {
    const { pair, connection } = await paired();
    pair.answer = async (_, body) => {
      if (body === 'first') await pair.pause(800);
      return `reply to ${body}`;
    };
    const first = pair.ask(connection, 'memberList', 'first', 500);
    await pair.world.run(600);
    const second = pair.ask(connection, 'memberList', 'second', 500);
    await pair.world.run(1_000);
    expect(codeOf(first)).to.equal('timeout');
    expect(second.reply?._unsafeUnwrap()).to.equal('reply to second');
  });

  it('given a peer that replies twice under one id, and under ids never asked, when other asks are open, then each gets the first reply under its own id only', async () => {
    const pair = new Pair();
    const { net } = pair.world.machine(farHost).ports();
    const wires: RawConnection[] = [];
    (
      await net.listen(farAddress, (wire) => {
        wires.push(wire);
        wire.write(frames.encodeFrame({ f: 'hello', hello: helloOf(farHost) }));
        const unpacker = new FrameDecoder(
          (message) => {
            const { f, id, body } = message as { f: string; id: number; body: string };
            if (f !== 'ask') return;
            for (const [told, text] of [
              [id + 50, 'stray'],
              [id, `reply to ${body}`],
              [id, 'once more'],
              [id - 1, 'of the one before'],
            ])
              wire.write(frames.encodeFrame({ f: 'reply', id: told, body: text }));
          },
          () => {},
        );
        wire.listen(unpacker.push, () => {});
      })
    )._unsafeUnwrap();
    const connection = await pair.dial();
    const asks = ['a', 'b', 'c'].map((body) => pair.ask(connection, 'memberList', body, 500));
    await pair.world.run(1_000);
    expect(asks.map(({ reply }) => reply?._unsafeUnwrap())).to.deep.equal(['reply to a', 'reply to b', 'reply to c']);
  });

  it('given an ask under way, when the peer restarts at the same address and is dialled anew, then the ask ends as closed and no reply of the old process reaches an ask of the new connection', async () => {
    const { pair, connection } = await paired();
    pair.answer = async (_, body) => {
      await pair.pause(300);
      return `old reply to ${body}`;
    };
    const lost = pair.ask(connection, 'memberList', 'lost', 5_000);
    await pair.world.run(100);
    pair.world.machine(farHost).kill();
    await pair.world.run(20);
    pair.world.machine(farHost).boot();
    pair.answer = async (_, body) => `new reply to ${body}`;
    await pair.listen('second life');
    const next = await pair.dial();
    const fresh = pair.ask(next, 'memberList', 'fresh', 5_000);
    await pair.world.run(1_000);
    expect(codeOf(lost)).to.equal('closed');
    expect(fresh.reply?._unsafeUnwrap()).to.equal('new reply to fresh');
    expect(next.peer?.incarnation).to.equal('second life');
  });

  it('given a connection that is replaced while the peer lives on, when the old reply is ready, then it is sent to nobody', async () => {
    const { pair, connection } = await paired();
    pair.answer = async (_, body) => {
      await pair.pause(body === 'old' ? 500 : 900);
      return `reply to ${body}`;
    };
    const old = pair.ask(connection, 'memberList', 'old', 5_000);
    await pair.world.run(50);
    connection.close();
    const next = await pair.dial();
    const fresh = pair.ask(next, 'memberList', 'fresh', 5_000);
    await pair.world.run(2_000);
    expect(codeOf(old)).to.equal('closed');
    expect(fresh.reply?._unsafeUnwrap()).to.equal('reply to fresh');
  });

  it('given a peer that sends what is no frame of a known kind, when it arrives, then the connection ends and says why', async () => {
    for (const strange of [null, 'text', { f: 'other' }, { f: 7 }]) {
      const pair = new Pair();
      const { net } = pair.world.machine(farHost).ports();
      const wires: RawConnection[] = [];
      (
        await net.listen(farAddress, (wire) => {
          wires.push(wire);
          wire.write(frames.encodeFrame({ f: 'hello', hello: helloOf(farHost) }));
        })
      )._unsafeUnwrap();
      const connection = await pair.dial();
      wires[0]?.write(frames.encodeFrame(strange));
      await pair.world.run(50);
      expect([strange, connection.isLive(), pair.dropped().length]).to.deep.equal([strange, false, 1]);
    }
  });
});
