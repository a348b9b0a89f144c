/** Handles the messages and calls of other nodes. */
import type { PeerHandlers, PeerConnection } from '@martenworks/peer-transport';
import type { GatewayContext } from '../gatewayContext.js';
import { peerMessages } from './peerMessages.js';

type MessageHandler = (gateway: GatewayContext, body: unknown, connection: PeerConnection) => void;

/** Creates a handler that ignores malformed messages. */
const handler =
  <T>(
    read: (body: unknown) => T | null,
    apply: (gateway: GatewayContext, message: T, connection: PeerConnection) => void,
  ): MessageHandler =>
  (gateway, body, connection) => {
    const message = read(body);
    if (message !== null) apply(gateway, message, connection);
  };

/** Sends a control node this gateway's log index, so that it sends the missing changes. */
const acknowledge = (gateway: GatewayContext, connection: PeerConnection): void => {
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
      if (!gateway.stateView.applyChange(logIndex, change)) acknowledge(gateway, connection);
    }),
  ],
  [
    'checkpoint',
    handler(peerMessages.committedState, (gateway, state, connection) => {
      if (!gateway.stateView.applySnapshot(state)) acknowledge(gateway, connection);
    }),
  ],
  ['replicas', handler(peerMessages.replicas, (gateway, records) => gateway.stateView.applyReplicas(records))],
  ['loads', handler(peerMessages.loads, (gateway, loads) => gateway.replicaTracker.applyOtherLoads(loads))],
  [
    'indexSnapshot',
    handler(peerMessages.indexSnapshot, (gateway, snapshot) => gateway.stateView.applyIndexSnapshot(snapshot)),
  ],
  ['kv', handler(peerMessages.kvEvents, (gateway, events) => gateway.stateView.applyKvEvents(events))],
]);

const handleCall = (gateway: GatewayContext, topic: string, body: unknown): unknown => {
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

/** Handlers of a gateway's peer connections. */
export const peerMessageHandlers = {
  /** Creates the handlers of one gateway; `onOpen` is called once the peer has sent its hello. */
  of: (gateway: GatewayContext, onOpen: (connection: PeerConnection) => void): PeerHandlers => ({
    onOpen: (connection) => {
      if (connection.peer === null) return;
      gateway.memberList.recordContact(connection.peer);
      onOpen(connection);
    },
    onClose: () => {},
    onMessage: (connection, topic, body) => messageHandlers.get(topic)?.(gateway, body, connection),
    onCall: async (_connection, topic, body) => handleCall(gateway, topic, body),
  }),
};
