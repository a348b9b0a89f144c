import type { Member, ReplicaRecord } from '@martenworks/core-types';
import { peerConnections } from '@martenworks/peer-transport';
import type { Handlers } from '@martenworks/peer-transport';
import type { Pigeonhole } from '@martenworks/prefix-index';
import { PushDesk, acceptors } from '@martenworks/control-plane';
import type { Acceptor } from '@martenworks/control-plane';
import { PeerProcess, Meter, rig } from './rig.js';

export interface Core {
  readonly address: string;
  readonly meter: Meter;
  readonly acceptor: Acceptor;
  readonly push: PushDesk;
  readonly close: () => Promise<void>;
}

export const asMember = (at: number): Member => ({
  name: `postmaster-${at}`,
  address: `127.0.0.${at}:1`,
  incarnation: `incarnation-${String(at).padStart(5, '0')}`,
});

export const openCore = async (
  tenantCount: number,
  records: readonly ReplicaRecord[],
  more: Partial<Handlers> = {},
  shelves: () => ReturnType<Pigeonhole['checkpoint']> = () => [],
): Promise<Core> => {
  const meter = new Meter();
  const ports = rig.ports(meter);
  const acceptor = (await acceptors.open(ports.disk, ports.clock, ports.random, ports.log))._unsafeUnwrap();
  await acceptor.adopt(rig.stateOf(tenantCount, 0, [asMember(1), asMember(2), asMember(3)]));
  const standingClock = { ...ports.clock, now: () => 0 };
  const push = new PushDesk(acceptor, standingClock, () => records, shelves);
  const address = await rig.freeAddress();
  const handlers: Handlers = {
    joined: () => {},
    left: push.drop,
    told: (connection, topic, body) => {
      if (topic === 'subscribe')
        push.subscribe(connection, body === null ? (acceptor.agreed()?.generation ?? -1) : (body as number));
      else if (topic === 'ack') push.acked(connection, body as number);
      else if (topic === 'heavyNews') push.heavyNews(connection, body as Parameters<PushDesk['heavyNews']>[1]);
    },
    asked: async (connection, topic, body) =>
      topic === 'ping' ? push.pong(connection, body as Parameters<PushDesk['pong']>[1]) : null,
    ...more,
  };
  const listener = (
    await peerConnections.listen(
      ports.net,
      ports.clock,
      ports.log,
      () => rig.helloOf('postmaster', 1, address),
      address,
      handlers,
    )
  )._unsafeUnwrap();
  const close = async (): Promise<void> => {
    await listener.close();
    await acceptor.close();
  };
  return { address, meter, acceptor, push, close };
};

export const withPeers = async <T>(work: (peers: PeerProcess) => Promise<T>): Promise<T> => {
  const peers = new PeerProcess();
  try {
    return await work(peers);
  } finally {
    peers.stop();
  }
};
