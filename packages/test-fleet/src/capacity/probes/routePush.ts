/** Messages between a control node and edges: pings, routing tables, versions without content, and prefill notices. */
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
/** Lets the JIT compiler optimize the connection code before the measurement. */
const warmUpPings = 800;
const noticesPerRepeat = 20;
const sendMs = 20;
const fixedCustomers = 1_000;
const fewEdges = 10;
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
    versionMs: 'way-push/bare-cpu',
    versionBytes: 'way-push/bare-bytes',
    noticeUs: 'way-push/reading-cpu',
    noticeBytes: 'way-push/reading-bytes',
  });

/** Connected edges, all of which want the contents of changes, or only their versions. */
interface Scenario {
  readonly node: MeasuredControlNode;
  readonly publisher: StatePublisher;
  readonly edges: number;
  readonly wantsContent: boolean;
}

type RecordCost = (value: number, bytesPerEdge: number) => void;
type Body<Method extends keyof StatePublisher> = StatePublisher[Method] extends (
  connection: never,
  body: infer B,
  ...rest: never[]
) => unknown
  ? B
  : never;

/** The publisher needs the node's state, and the node's listener needs the handlers, so they look up the publisher. */
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
    const body = { ...storedVersion(node), wantsContent };
    await peers.run({ verb: 'send', topic: 'subscribe', body });
    await until(() => own.status().length === edges, subscribeTimeoutMs);
    await peers.run({ verb: 'ping', count: warmUpPings, body: { ...storedVersion(node), isReady: true } });
    await work({ node, publisher: own, edges, wantsContent });
  });
};

const storedVersion = ({ acceptor }: MeasuredControlNode): { logIndex: number; configVersion: number } => ({
  logIndex: acceptor.committedState()?.logIndex ?? 0,
  configVersion: 0,
});

const measurePings = (peers: PeerProcess, { node }: Scenario, record: RecordCost): Promise<void> => {
  const body = { ...storedVersion(node), isReady: true };
  return repeat(repeats, 1, async (isMeasured) => {
    const usage = startMeasurement(node.meter);
    await peers.run({ verb: 'ping', count: pingCount, body });
    const { cpuUs, sentBytes, receivedBytes } = usage();
    if (isMeasured) record(cpuUs / pingCount, (sentBytes + receivedBytes) / pingCount);
  });
};

const measureNotices = ({ node, publisher, edges }: Scenario, record: RecordCost): Promise<void> => {
  const notice: PrefillNotice = {
    id: 'request-0000000000000001',
    replica: 'replica-0001-1',
    tokens: 13_300,
    salt: `${routeSamples.modelOf(1)}@1`,
    part: sampleData.blockName(1),
  };
  return repeat(repeats, 1, async (isMeasured) => {
    const usage = startMeasurement(node.meter);
    for (const _ of range(noticesPerRepeat)) publisher.sendToContentEdges('prefill', notice);
    await sleep(sendMs);
    const { cpuUs, sentBytes } = usage();
    if (isMeasured) record(cpuUs / noticesPerRepeat, sentBytes / noticesPerRepeat / edges);
  });
};

const measureChanges = (scenario: Scenario, customers: number, record: RecordCost): Promise<void> => {
  const { node, publisher, edges, wantsContent } = scenario;
  const routingTable = routeSamples.routingTable(customers);
  return repeat(repeats, 1, async (isMeasured, at) => {
    const logIndex = storedVersion(node).logIndex + 1;
    const change: Change = {
      id: `book-${at}`,
      digest: '0',
      body: { kind: 'routing', base: at, routing: { configVersion: at + 1, table: routingTable, source: '' } },
    };
    const isAcked = (): boolean => publisher.status().every((line) => line.acked >= logIndex);
    const usage = startMeasurement(node.meter);
    await node.acceptor.commit({ logIndex, change });
    if (wantsContent) await until(isAcked, ackTimeoutMs, ackPollMs);
    else await sleep(sendMs);
    const { cpuMs, sentBytes } = usage();
    if (isMeasured) record(cpuMs, sentBytes / edges);
  });
};

/** Measures by the number of edges and of customers. */
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
            series.versionMs.add(edges, ms);
            series.versionBytes.add(edges, bytes);
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
        await withScenario(peers, fewEdges, true, (scenario) =>
          measureChanges(scenario, customers, (_ms, bytes) => series.contentBytes.add(customers, bytes)),
        );
      return measurementsOf(series);
    }),
};
