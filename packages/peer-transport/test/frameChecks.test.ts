import { expect } from 'chai';
import { frames, hellos, peerConnections, protocolVersion } from '@martenworks/peer-transport';
import type { PeerHandlers, Hello } from '@martenworks/peer-transport';
import { SimWorld } from '@martenworks/test-fleet';

const nearHost = '10.0.0.1';
const farHost = '10.0.0.2';
const farAddress = `${farHost}:7640`;

const helloOf = (host: string): Hello =>
  hellos.of(
    'control',
    { name: host, peerAddress: `${host}:7640`, http: `${host}:8200`, operators: null, zone: 'zone-a' },
    host,
  );

const noHandlers: PeerHandlers = { onMessage: () => {}, onCall: async () => null, onOpen: () => {}, onClose: () => {} };

/** Dials a peer that sends this value as its hello. Returns the result, and the causes of dropped connections. */
const dialWithHello = async (hello: unknown): Promise<{ code: string; causes: unknown[] }> => {
  const world = new SimWorld(5);
  const far = world.machine(farHost).ports();
  (
    await far.net.listen(farAddress, (connection) => connection.write(frames.encodeFrame({ f: 'hello', hello })))
  )._unsafeUnwrap();
  const near = world.machine(nearHost).ports();
  let code = '';
  void peerConnections
    .dial(near.net, near.clock, near.log, helloOf(nearHost), farAddress, noHandlers)
    .then((dialed) => {
      code = dialed.isOk() ? 'ok' : dialed.error.code;
    });
  await world.until('the outcome', () => code !== '');
  const dropped = world.logLines.filter(({ message }) => message === 'connection dropped');
  return { code, causes: dropped.map(({ context }) => context.cause) };
};

describe('validation of what a peer sends', () => {
  it('given a hello with a field that is missing or of the wrong type, when it is received, then the connection is dropped and the cause is logged', async () => {
    const valid = helloOf(farHost);
    expect(await dialWithHello(valid)).to.deep.equal({ code: 'ok', causes: [] });
    for (const field of ['name', 'role', 'address', 'http', 'zone', 'incarnation'])
      for (const value of [undefined, 7])
        expect(await dialWithHello({ ...valid, [field]: value }), `${field} ${value}`).to.deep.equal({
          code: 'unreachable',
          causes: ['invalid hello'],
        });
  });

  it('given a hello of another protocol version, valid or not, when it is received, then the logged cause is the version mismatch', async () => {
    for (const hello of [{ ...helloOf(farHost), release: protocolVersion + 1 }, { release: 1 }, 'hello', null])
      expect((await dialWithHello(hello)).causes, JSON.stringify(hello)).to.deep.equal([
        'peer protocol version mismatch',
      ]);
  });

  it('given frames of each kind, when they are checked, then complete ones are valid and those with a missing field are not', () => {
    const complete = [
      { f: 'hello', hello: null },
      { f: 'got' },
      { f: 'tell', topic: 't' },
      { f: 'ask', id: 1, topic: 't' },
      { f: 'reply', id: 1 },
      { f: 'part', stream: 's', isLast: true, bytes: new Uint8Array(1) },
    ];
    for (const frame of complete) expect(frames.isFrame(frame), JSON.stringify(frame)).to.equal(true);
    for (const frame of complete)
      for (const field of Object.keys(frame).filter((name) => name !== 'hello')) {
        const { [field]: _, ...rest } = frame as Record<string, unknown>;
        expect(frames.isFrame(rest), `${frame.f} without ${field}`).to.equal(false);
      }
  });
});
