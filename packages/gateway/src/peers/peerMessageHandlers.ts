/** What a gateway does with the messages and questions of other nodes. */
import type { PeerHandlers, PeerConnection } from '@martenworks/peer-transport';
import type { GatewayParts } from '../gatewayParts.js';
import { peerMessages } from './peerMessages.js';

type MessageHandler = (gateway: GatewayParts, body: unknown, connection: PeerConnection) => void;

/** Ignores a message that its reader finds malformed. */
const handler =
  <T>(
    read: (body: unknown) => T | null,
    take: (gateway: GatewayParts, message: T, connection: PeerConnection) => void,
  ): MessageHandler =>
  (gateway, body, connection) => {
    const message = read(body);
    if (message !== null) take(gateway, message, connection);
  };

/** Tells a control node which state is held, so that it sends what is missing. */
const acknowledge = (gateway: GatewayParts, connection: PeerConnection): void => {
  connection.send('ack', gateway.stateView.logIndex());
};

const messageHandlers: ReadonlyMap<string, MessageHandler> = new Map([
  [
    'heartbeat',
    handler(peerMessages.heartbeat, (gateway, incarnation) =>
      gateway.failureDetector.heartbeatMonitor.recordHeartbeat(incarnation),
    ),
  ],
  [
    'change',
    handler(peerMessages.change, (gateway, { logIndex, change }, connection) => {
      if (!gateway.stateView.takeChange(logIndex, change)) acknowledge(gateway, connection);
    }),
  ],
  [
    'checkpoint',
    handler(peerMessages.committedState, (gateway, state, connection) => {
      if (!gateway.stateView.takeSnapshot(state)) acknowledge(gateway, connection);
    }),
  ],
  ['replicas', handler(peerMessages.replicas, (gateway, records) => gateway.stateView.takeReplicas(records))],
  ['loads', handler(peerMessages.loads, (gateway, loads) => gateway.replicaTracker.takeOtherLoads(loads))],
  [
    'indexSnapshot',
    handler(peerMessages.indexSnapshot, (gateway, snapshot) => gateway.stateView.takeIndexSnapshot(snapshot)),
  ],
  ['kv', handler(peerMessages.kvEvents, (gateway, events) => gateway.stateView.takeKv(events))],
]);

const answerQuestion = (gateway: GatewayParts, topic: string, body: unknown): unknown => {
  switch (topic) {
    case 'keepalive':
      return true;
    case 'claimState': {
      const claimantId = peerMessages.claimantId(body);
      return claimantId === null ? null : gateway.claims.responseStore.stateOf(claimantId);
    }
    case 'memberList': {
      const entries = peerMessages.memberList(body);
      if (entries === null) return null;
      gateway.memberList.merge(entries);
      return gateway.memberList.entries();
    }
    default:
      return null;
  }
};

/** The handlers of a gateway's peer connections; `onOpen` is called once the other side has introduced itself. */
export const peerMessageHandlers = {
  /** Makes them for one gateway. */
  of: (gateway: GatewayParts, joined: (connection: PeerConnection) => void): PeerHandlers => ({
    onOpen: (connection) => {
      if (connection.peer === null) return;
      gateway.memberList.recordContact(connection.peer);
      joined(connection);
    },
    onClose: () => {},
    onMessage: (connection, topic, body) => messageHandlers.get(topic)?.(gateway, body, connection),
    onCall: async (_connection, topic, body) => answerQuestion(gateway, topic, body),
  }),
};
