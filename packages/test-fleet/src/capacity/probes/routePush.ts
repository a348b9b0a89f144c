/** Control node to edges of the users' platform: pings, pushes of the routing table, bare generations and notices. */
import { TargetWeightsAges, StatePublisher } from '@martenworks/control-plane';
import { machine } from '@martenworks/core-types';
import type { Change, PrefillNotice } from '@martenworks/core-types';
import type { PeerHandlers } from '@martenworks/peer-transport';
import { nodeCounts, tenantCounts } from '../fleetSize.js';
import { withConnectedNode } from '../measuredControlNode.js';
import type { MeasuredControlNode } from '../measuredControlNode.js';
import { sleep, repeat, startMeasurement, until, range } from '../measuring.js';
import { withPeers } from '../peerProcessClient.js';
import type { PeerProcess } from '../peerProcessClient.js';
import { routeSamples } from '../routeSamples.js';
import { sampleData } from '../sampleData.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const repeats = 3;
const pingCount = 200;
/** Let the compiler optimize the connections' code before anything is measured. */
const warmUpPings = 800;
const noticesARepeat = 20;
const sendMs = 20;
const fixedCustomers = 1_000;
const fewFronts = 10;
const servedCounts = [10, 34, 67, 134];
const subscribeTimeoutMs = 10_000;
const ackTimeoutMs = 20_000;
const ackPollMs = 10;

const defineAll = () =>
  defineSeries({
    pingUs: 'way-push/ping-cpu',
    pingBytes: 'way-push/ping-bytes',
    contentMs: 'way-push/content-cpu',
    contentBytes: 'way-push/content-bytes',
    bareMs: 'way-push/bare-cpu',
    bareBytes: 'way-push/bare-bytes',
    noticeUs: 'way-push/reading-cpu',
    noticeBytes: 'way-push/reading-bytes',
  });

/** Connected edges, all of which want the contents of changes or only their generations. */
interface Scenario {
  readonly node: MeasuredControlNode;
  readonly publisher: StatePublisher;
  readonly edges: number;
  readonly wantsContent: boolean;
}

type Cost = (value: number, bytesEach: number) => void;
type Body<Method extends keyof StatePublisher> = StatePublisher[Method] extends (
  connection: never,
  body: infer B,
  ...rest: never[]
) => unknown
  ? B
  : never;

/** The publisher needs the node's state, and the node's listener the publisher, so the handlers look it up. */
const handlersFor = (publisher: () => StatePublisher | null): Partial<PeerHandlers> => ({
  onClose: (connection) => publisher()?.unsubscribe(connection),
  onMessage: (connection, topic, body) => {
    if (topic === 'subscribe') publisher()?.subscribe(connection, body as Body<'subscribe'>);
    else if (topic === 'ack') publisher()?.handleAck(connection, body as Body<'handleAck'>);
  },
  onCall: async (connection, topic, body) =>
    topic === 'ping' ? (publisher()?.handlePing(connection, body as Body<'handlePing'>, 0) ?? null) : null,
});

const withScenario = async (
  peers: PeerProcess,
  edges: number,
  wantsContent: boolean,
  work: (scenario: Scenario) => Promise<void>,
): Promise<void> => {
  let publisher: StatePublisher | null = null;
  const options = { handlers: handlersFor(() => publisher) };
  await withConnectedNode(peers, { count: 0 }, options, async (node) => {
    const own = new StatePublisher(
      node.acceptor,
      machine.clock,
      () => 100,
      () => {},
      new TargetWeightsAges(machine.clock),
    );
    publisher = own;
    await peers.run({ verb: 'dial', address: node.address, firstPeer: 0, count: edges });
    const body = { ...heldBy(node), wantsContent };
    await peers.run({ verb: 'send', topic: 'subscribe', body });
    await until(() => own.status().length === edges, subscribeTimeoutMs);
    await peers.run({ verb: 'ping', count: warmUpPings, body: { ...heldBy(node), isReady: true } });
    await work({ node, publisher: own, edges, wantsContent });
  });
};

const heldBy = ({ acceptor }: MeasuredControlNode): { logIndex: number; configVersion: number } => ({
  logIndex: acceptor.committedState()?.logIndex ?? 0,
  configVersion: 0,
});

const measurePings = (peers: PeerProcess, { node }: Scenario, note: Cost): Promise<void> => {
  const body = { ...heldBy(node), isReady: true };
  return repeat(repeats, 1, async (isMeasured) => {
    const spent = startMeasurement(node.meter);
    await peers.run({ verb: 'ping', count: pingCount, body });
    const { cpuUs, sentBytes, receivedBytes } = spent();
    if (isMeasured) note(cpuUs / pingCount, (sentBytes + receivedBytes) / pingCount);
  });
};

const measureNotices = ({ node, publisher, edges }: Scenario, note: Cost): Promise<void> => {
  const notice: PrefillNotice = {
    id: 'request-0000000000000001',
    replica: 'replica-0001-1',
    tokens: 13_300,
    salt: `${routeSamples.modelOf(1)}@1`,
    part: sampleData.blockName(1),
  };
  return repeat(repeats, 1, async (isMeasured) => {
    const spent = startMeasurement(node.meter);
    for (const _ of range(noticesARepeat)) publisher.sendToContentEdges('prefill', notice);
    await sleep(sendMs);
    const { cpuUs, sentBytes } = spent();
    if (isMeasured) note(cpuUs / noticesARepeat, sentBytes / noticesARepeat / edges);
  });
};

const measureChanges = (scenario: Scenario, customers: number, note: Cost): Promise<void> => {
  const { node, publisher, edges, wantsContent } = scenario;
  const routingTable = routeSamples.routingTable(customers);
  return repeat(repeats, 1, async (isMeasured, at) => {
    const logIndex = heldBy(node).logIndex + 1;
    const change: Change = {
      id: `book-${at}`,
      digest: '0',
      body: { kind: 'routing', base: at, routing: { configVersion: at + 1, table: routingTable, source: '' } },
    };
    const isAcked = (): boolean => publisher.status().every((line) => line.acked >= logIndex);
    const spent = startMeasurement(node.meter);
    await node.acceptor.commit({ logIndex, change });
    if (wantsContent) await until(isAcked, ackTimeoutMs, ackPollMs);
    else await sleep(sendMs);
    const { cpuMs, sentBytes } = spent();
    if (isMeasured) note(cpuMs, sentBytes / edges);
  });
};

/** Measures by edges and by customers. */
export const routePushProbe: Probe = {
  name: 'way-push',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      for (const edges of nodeCounts)
        await withScenario(peers, edges, false, async (scenario) => {
          await measurePings(peers, scenario, (us, bytes) => {
            series.pingUs.add(edges, us);
            series.pingBytes.add(edges, bytes);
          });
          await measureChanges(scenario, fixedCustomers, (ms, bytes) => {
            series.bareMs.add(edges, ms);
            series.bareBytes.add(edges, bytes);
          });
        });
      for (const edges of servedCounts)
        await withScenario(peers, edges, true, async (scenario) => {
          await measureNotices(scenario, (us, bytes) => {
            series.noticeUs.add(edges, us);
            series.noticeBytes.add(edges, bytes);
          });
          await measureChanges(scenario, fixedCustomers, (ms) => series.contentMs.add(edges, ms));
        });
      for (const customers of tenantCounts)
        await withScenario(peers, fewFronts, true, (scenario) =>
          measureChanges(scenario, customers, (_ms, bytes) => series.contentBytes.add(customers, bytes)),
        );
      return measurementsOf(series);
    }),
};
