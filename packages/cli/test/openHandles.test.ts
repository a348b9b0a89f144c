import { mkdtempSync, readdirSync, readlinkSync, rmSync } from 'node:fs';
import { createServer, get } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { realHttpServer } from '@martenworks/cli';
import { controlNodes, gatewayControlNodes, operatorApi, replicaApi } from '@martenworks/control-plane';
import { logs, machine } from '@martenworks/core-types';
import type { Ports, WebHandler } from '@martenworks/core-types';
import { EdgeProxy } from '@martenworks/edge-proxy';
import { callerApi, gateways } from '@martenworks/gateway';
import { controlApi, headerCodec, PlatformClient } from '@martenworks/platform';
import { gatewaySettings, nodeSettings } from '@martenworks/settings';
import type { GatewaySettings, NodeSettings, Role } from '@martenworks/settings';
import { httpClients } from '@martenworks/upstream';
import { freeAddresses } from './program.js';

const host = '127.0.0.1';
const closeTimeoutMs = 15_000;
const connectTimeoutMs = 5_000;
const pollMs = 20;
/** Long enough for each role to connect, ping and list at least once. */
const runMs = 600;

const portsIn = (data: string | null): Ports => ({
  clock: machine.clock,
  random: machine.random,
  net: machine.net(host),
  httpServer: realHttpServer,
  httpClient: httpClients.real(host),
  disk: data === null ? machine.noDisk() : machine.disk(data),
  log: logs.silent(),
});

/** Counts the resources that keep the event loop of this process alive, by kind. */
const activeResources = (): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const kind of process.getActiveResourcesInfo()) counts.set(kind, (counts.get(kind) ?? 0) + 1);
  return counts;
};

/** Counts them once the test framework has started its timer for the test, after the first turn of the event loop. */
const activeResourcesBefore = async (): Promise<Map<string, number>> => {
  await sleep(pollMs);
  return activeResources();
};

const addedTo = (before: ReadonlyMap<string, number>): string[] =>
  [...activeResources()]
    .filter(([kind, count]) => count > (before.get(kind) ?? 0))
    .map(([kind, count]) => `${kind} ${count - (before.get(kind) ?? 0)}`);

const linkOf = (descriptor: string): string => {
  try {
    return readlinkSync(`/proc/self/fd/${descriptor}`);
  } catch {
    return '';
  }
};

const openFilesUnder = (folder: string): string[] =>
  readdirSync('/proc/self/fd')
    .map(linkOf)
    .filter((path) => path.startsWith(folder));

/** Waits until a stopped role has released all its resources, or the timeout; returns the remaining ones. */
const openHandlesAfter = async (before: ReadonlyMap<string, number>, folder: string): Promise<string[]> => {
  const read = (): string[] => [...addedTo(before), ...openFilesUnder(folder)];
  for (let waitedMs = 0; waitedMs < closeTimeoutMs && read().length > 0; waitedMs += pollMs) await sleep(pollMs);
  return read();
};

const statusOf = (address: string, path: string): Promise<number> =>
  new Promise((resolve, reject) => {
    get(`http://${address}${path}`, { agent: false }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode ?? 0));
    }).on('error', reject);
  });

/** Serves the pages of a role and requests one of them; the returned function closes the server. */
const servePages = async (address: string, handler: WebHandler, path: string): Promise<() => Promise<void>> => {
  const listener = (await realHttpServer.open(address, handler))._unsafeUnwrap();
  expect(await statusOf(address, path)).to.equal(200);
  return listener.close;
};

const gatewaySettingsOf = (role: Role, addresses: readonly string[], data: string | null): GatewaySettings => {
  const [peerAddress, http, ...seeds] = addresses;
  const fields = { name: role, zone: 'a', peerAddress, http, seeds, drainMs: 100, ...(data === null ? {} : { data }) };
  return gatewaySettings.check(role, fields, {})._unsafeUnwrap();
};

const nodeSettingsOf = (
  name: string,
  [peerAddress, http, seed]: readonly string[],
  data: string | null,
): NodeSettings =>
  nodeSettings
    .check({
      name,
      zone: 'a',
      zones: { a: 'region' },
      peerAddress,
      http,
      seeds: [seed],
      data,
      voters: 1,
      isFresh: true,
      drainMs: 100,
      orderGapMs: 3_000,
      versionMs: 8_000,
      retryBudgetRatio: 0.2,
      retryBudgetWindowMs: 10_000,
      retryBudgetSlack: 0,
      listIntervalMs: 100,
      listPerSecond: 10,
      listTimeoutMs: 200,
      memoryMb: 250,
      openFiles: 4_096,
    })
    ._unsafeUnwrap();

/** A running role; `stop` stops it as its command does. */
interface RunningRole {
  readonly hasPeer: () => boolean;
  readonly stop: () => Promise<void>;
}

/** Starts a role on the first two addresses, with the others as seeds and its data in the folder. */
type StartRole = (addresses: readonly string[], folder: string) => Promise<RunningRole>;

const startGateway: StartRole = async (addresses) => {
  const settings = gatewaySettingsOf('gateway', addresses, null);
  const gateway = (await gateways.start(settings, portsIn(null)))._unsafeUnwrap();
  const closePages = await servePages(settings.http, callerApi(gateway).fetch, '/healthz');
  return {
    hasPeer: () => gateway.peerPool.openConnections().length > 0,
    stop: async () => {
      await gateway.drain();
      await gateway.stop();
      await closePages();
    },
  };
};

const startGatewayControl: StartRole = async (addresses, folder) => {
  const settings = gatewaySettingsOf('gateway-control', addresses, folder);
  const node = (await gatewayControlNodes.start(settings, portsIn(folder)))._unsafeUnwrap();
  const app = operatorApi(node, () => []).route('/', replicaApi(node));
  const closePages = await servePages(settings.http, app.fetch, '/healthz');
  return {
    hasPeer: () => true,
    stop: async () => {
      await closePages();
      await node.stop();
    },
  };
};

const startEdge: StartRole = async (addresses) => {
  const settings = nodeSettingsOf('edge', addresses, null);
  const edge = new EdgeProxy(settings, portsIn(null), headerCodec, [...settings.seeds]);
  (await edge.open())._unsafeUnwrap();
  await statusOf(settings.http, '/');
  return {
    hasPeer: () => (edge.status().control as { cores: unknown[] }).cores.length > 0,
    stop: async () => {
      await edge.drain();
      edge.stop();
    },
  };
};

/** Starts a stub of the platform's API that rejects every call. */
const startPlatform = async (): Promise<{ address: string; close: () => Promise<unknown> }> => {
  const server = createServer((_request, response) => response.writeHead(503).end());
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const close = (): Promise<unknown> =>
    new Promise((resolve) => {
      server.close(resolve);
      server.closeAllConnections();
    });
  return { address: `${host}:${(server.address() as AddressInfo).port}`, close };
};

const startControl: StartRole = async (addresses, folder) => {
  const platform = await startPlatform();
  const settings = nodeSettingsOf('control', addresses, folder);
  const ports = portsIn(folder);
  const client = new PlatformClient(ports.httpClient, ports.clock, platform.address, settings.listTimeoutMs);
  const node = (await controlNodes.start(settings, ports, client, [...settings.seeds]))._unsafeUnwrap();
  const listener = (await realHttpServer.open(settings.http, controlApi(node).fetch))._unsafeUnwrap();
  await statusOf(settings.http, '/');
  return {
    hasPeer: () => true,
    stop: async () => {
      await listener.close();
      await node.leave();
      await node.stop();
      await platform.close();
    },
  };
};

/** Runs the first role, then the second with the first as its seed; stops them in the order that `stopsFirst` selects. */
const runPair = async (start: readonly [StartRole, StartRole], folder: string, stopsFirst: 0 | 1): Promise<void> => {
  const [peerOfFirst = '', httpOfFirst = '', peer = '', http = '', ...others] = freeAddresses(6);
  const first = await start[0]([peerOfFirst, httpOfFirst, peerOfFirst, ...others], folder);
  const second = await start[1]([peer, http, peerOfFirst, ...others], folder);
  for (let waitedMs = 0; waitedMs < connectTimeoutMs && !second.hasPeer(); waitedMs += pollMs) await sleep(pollMs);
  expect(second.hasPeer(), 'the second role is connected to the first').to.equal(true);
  await sleep(runMs);
  const roles = [first, second] as const;
  await roles[stopsFirst].stop();
  await sleep(runMs);
  await roles[1 - stopsFirst]?.stop();
};

describe('open handles of a stopped role', () => {
  let folder = '';
  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'martenworks-handles-'));
  });
  afterEach(() => rmSync(folder, { recursive: true }));

  it('given a timer, a socket and a file that stay open, when open handles are read, then each is found', async () => {
    const before = await activeResourcesBefore();
    const timer = setInterval(() => {}, 60_000);
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
    const file = await machine.disk(folder).open('file');
    const found = [...addedTo(before), ...openFilesUnder(folder)];
    clearInterval(timer);
    await new Promise((resolve) => server.close(resolve));
    await file._unsafeUnwrap().close();
    expect(found).to.include.members(['Timeout 1', 'TCPServerWrap 1', join(folder, 'file')]);
    expect((await openHandlesAfter(before, folder)).join(', ')).to.equal('');
  });

  for (const [role, start] of [
    ['a gateway', startGateway],
    ['a gateway control node', startGatewayControl],
    ['an edge', startEdge],
    ['a control node', startControl],
  ] as const)
    it(`given ${role} alone on loopback, when it has run for a moment and stopped, then no timer, socket or file stays open`, async () => {
      const before = await activeResourcesBefore();
      const [peerAddress = '', http = '', ...others] = freeAddresses(4);
      const running = await start([peerAddress, http, peerAddress, ...others], folder);
      await sleep(runMs);
      await running.stop();
      expect((await openHandlesAfter(before, folder)).join(', ')).to.equal('');
    });

  for (const [pair, start] of [
    ['a gateway control node and a gateway', [startGatewayControl, startGateway]],
    ['a control node and an edge', [startControl, startEdge]],
  ] as const)
    for (const stopsFirst of [0, 1] as const)
      it(`given ${pair} that are connected, when the ${stopsFirst === 0 ? 'first' : 'second'} and then the other has stopped, then no timer, socket or file stays open`, async () => {
        const before = await activeResourcesBefore();
        await runPair(start, folder, stopsFirst);
        expect((await openHandlesAfter(before, folder)).join(', ')).to.equal('');
      });
});
