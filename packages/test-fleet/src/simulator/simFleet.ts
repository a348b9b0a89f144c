/** A complete simulated fleet: control nodes, gateways and emulated replicas, with an external operator. */
import { callerApi, gateways, operatorPages } from '@martenworks/gateway';
import type { Gateway } from '@martenworks/gateway';
import { operatorApi, replicaApi, gatewayControlNodes } from '@martenworks/control-plane';
import type { GatewayControlNode } from '@martenworks/control-plane';
import type { HttpClient, Ports } from '@martenworks/core-types';
import type { GatewaySettings, Role } from '@martenworks/settings';
import { gatewaySettings } from '@martenworks/settings';
import { keyOf, sampleWorkload } from '../workload/sampleDeployments.js';
import { EmulatedReplica } from '../replica/emulatedReplica.js';
import type { EmulatedReplicaSettings } from '../replica/replicaRecords.js';
import type { ReplicaIncarnation, ObservedFleet } from '../invariants/observedFleet.js';
import { SimWorld } from './simWorld.js';
import type { SimMachine } from './simMachine.js';

/** Size and settings of the fleet, and hooks with which tests modify nodes as they start. */
export interface SimFleetOptions {
  readonly seed: number;
  readonly gatewayCount: number;
  readonly replicaCount: number;
  readonly config?: Record<string, unknown>;
  readonly replicaSettings?: Partial<EmulatedReplicaSettings>;
  readonly gatewaySettings?: Record<string, unknown>;
  readonly controlNodeSettings?: Record<string, unknown>;
  readonly tenants?: readonly string[];
  readonly hasStore?: boolean;
  readonly onGatewayStarted?: (gateway: Gateway) => void;
  readonly onControlNodeStarted?: (controlNode: GatewayControlNode) => void;
  readonly portsFor?: (role: 'gateway' | 'control', ports: Ports) => Ports;
}

/** The response of a node; status 0 if there was none. */
export interface HttpReply {
  readonly status: number;
  readonly body: Record<string, unknown>;
  readonly retryAfter: string | null;
}

/** One incarnation of a replica. */
export interface StartedReplica {
  readonly replica: EmulatedReplica;
  readonly host: string;
  readonly name: string;
}

const zoneNames = ['a', 'b', 'c'];
const externalHost = '10.9.0.1';

/** Runs the nodes, identified by an index from 0; the entry of a node that is not running is null. */
export class SimFleet implements ObservedFleet {
  /** Time, network and machines. */
  readonly world: SimWorld;
  /** The running control nodes. */
  readonly controlNodes: (GatewayControlNode | null)[] = [null, null, null];
  /** The host of each control node. */
  readonly controlNodeHosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3'];
  /** The name of each control node. */
  readonly controlNodeNames = ['postmaster-1', 'postmaster-2', 'postmaster-3'];
  /** The running gateways. */
  readonly gateways: (Gateway | null)[];
  readonly gatewayHosts: string[];
  /** The host of each replica of the main pool. */
  readonly replicaHosts: string[];
  /** The host of the replica of the app pool. */
  readonly appHost = '10.3.0.1';
  /** The host of the cache store. */
  readonly storeHost = '10.4.0.1';
  /** All incarnations of all replicas. */
  readonly startedReplicas: StartedReplica[] = [];
  /** The running replicas by name. */
  readonly runningReplicas = new Map<string, EmulatedReplica>();
  private readonly incarnations = new Map<string, number>();

  constructor(
    /** Size and settings; `up` starts the nodes. */
    readonly options: SimFleetOptions,
  ) {
    this.world = new SimWorld(options.seed);
    this.gateways = Array.from({ length: options.gatewayCount }, () => null);
    this.gatewayHosts = Array.from({ length: options.gatewayCount }, (_, at) => `10.1.0.${at + 1}`);
    this.replicaHosts = Array.from({ length: options.replicaCount }, (_, at) => `10.2.0.${at + 1}`);
    this.world.machine(externalHost);
  }

  readonly now = (): number => this.world.time;
  readonly random = (): number => this.world.random();
  readonly after = (delayMs: number, callback: () => void): void => void this.world.schedule(null, delayMs, callback);
  readonly externalClient = (): HttpClient => this.world.machine(externalHost).httpClient();
  readonly replicaIncarnations = (): ReplicaIncarnation[] =>
    this.startedReplicas.map(({ replica, name }) => ({
      name,
      incarnation: replica.settings.incarnation,
      runs: replica.runs,
      arrivals: replica.arrivals,
      breaches: replica.breaches,
    }));

  private readonly settings = (
    role: Role,
    name: string,
    host: string,
    at: number,
    overrides: Record<string, unknown>,
  ): GatewaySettings => {
    const result = gatewaySettings.check(
      role,
      {
        name,
        zone: zoneNames[at % 3],
        peerAddress: `${host}:7100`,
        http: `${host}:7101`,
        seeds: this.controlNodeHosts.slice(0, 3).map((one) => `${one}:7100`),
        gatewayCount: this.options.gatewayCount,
        ...overrides,
      },
      {},
    );
    return result._unsafeUnwrap();
  };

  private readonly portsOf = (role: 'gateway' | 'control', machine: SimMachine): Ports => {
    const ports = machine.ports();
    return this.options.portsFor?.(role, ports) ?? ports;
  };

  /** Starts a control node on its machine. */
  readonly startControlNode = async (at: number): Promise<void> => {
    const host = this.controlNodeHosts[at] as string;
    const machine = this.world.machine(host);
    const started = await gatewayControlNodes.start(
      this.settings('gateway-control', this.controlNodeNames[at] as string, host, at, {
        data: 'sim',
        ...this.options.controlNodeSettings,
      }),
      this.portsOf('control', machine),
    );
    if (started.isErr()) throw new Error(`control node ${at} failed to start: ${JSON.stringify(started.error)}`);
    this.controlNodes[at] = started.value;
    this.options.onControlNodeStarted?.(started.value);
    const app = operatorApi(started.value).route('/', replicaApi(started.value));
    machine.serveHttp(`${host}:7101`, app.fetch);
  };

  /** Starts a gateway on its machine. */
  readonly startGateway = async (at: number): Promise<void> => {
    const host = this.gatewayHosts[at] as string;
    const machine = this.world.machine(host);
    const started = await gateways.start(
      this.settings('gateway', `counter-${at + 1}`, host, at, {
        operators: `${host}:7102`,
        ...this.options.gatewaySettings,
      }),
      this.portsOf('gateway', machine),
    );
    if (started.isErr()) throw new Error(`gateway ${at} failed to start: ${JSON.stringify(started.error)}`);
    this.gateways[at] = started.value;
    this.options.onGatewayStarted?.(started.value);
    machine.serveHttp(`${host}:7101`, callerApi(started.value).fetch);
    machine.serveHttp(`${host}:7102`, operatorPages(started.value).fetch);
  };

  /** Starts a new incarnation of a replica. */
  readonly startReplica = (name: string, host: string, overrides: Partial<EmulatedReplicaSettings> = {}): void => {
    const machine = this.world.machine(host);
    const incarnation = (this.incarnations.get(name) ?? 0) + 1;
    this.incarnations.set(name, incarnation);
    const replica = new EmulatedReplica(
      {
        name,
        address: `${host}:8000`,
        incarnation,
        slots: 8,
        capacityBlocks: 2_000,
        prefillTokensPerMs: 8,
        pullTokensPerMs: 80,
        decodeMs: 5,
        store: this.options.hasStore === true && name.startsWith('replica-') ? `${this.storeHost}:8000` : null,
        ...this.options.replicaSettings,
        ...(name === 'store-1' ? { store: null, capacityBlocks: 20_000 } : {}),
        ...overrides,
      },
      machine.clock(),
      machine.httpClient(),
    );
    machine.serveHttp(`${host}:8000`, replica.app.fetch);
    this.runningReplicas.set(name, replica);
    this.startedReplicas.push({ replica, host, name });
  };

  /** Returns the latest incarnation of a replica; 0 if it never started. */
  readonly incarnationOf = (name: string): number => this.incarnations.get(name) ?? 0;

  /** Returns the name of a replica of the main pool by its index. */
  readonly replicaName = (at: number): string => `replica-${at + 1}`;

  /** Returns the names of the replicas of the main pool, running or not. */
  readonly replicaNames = (): string[] => this.replicaHosts.map((_, at) => this.replicaName(at));

  /** Returns the host of any replica or of the store. */
  readonly hostOfReplica = (name: string): string =>
    name === 'app-1'
      ? this.appHost
      : name === 'store-1'
        ? this.storeHost
        : (this.replicaHosts[Number(name.split('-')[1]) - 1] as string);

  /** Sends an HTTP request from outside the fleet. */
  readonly call = async (
    url: string,
    method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE',
    body?: unknown,
    headers: Record<string, string> = {},
    signal: AbortSignal = new AbortController().signal,
  ): Promise<HttpReply> => {
    const response = await this.world
      .machine(externalHost)
      .httpClient()
      .send({
        method: method as 'POST',
        url,
        headers: { 'content-type': 'application/json', ...headers },
        body: body === undefined ? null : JSON.stringify(body),
        signal,
        gate: () => true,
      });
    if (response.isErr())
      return { status: 0, body: { code: response.error.code, isUnsent: response.error.isUnsent }, retryAfter: null };
    const parts: Uint8Array[] = [];
    try {
      for await (const part of response.value.body) parts.push(part);
    } catch {
      return { status: 0, body: { code: 'broken' }, retryAfter: null };
    }
    const text = Buffer.concat(parts).toString('utf8');
    return {
      status: response.value.status,
      body: text.startsWith('{') ? (JSON.parse(text) as Record<string, unknown>) : { text },
      retryAfter: response.value.header('retry-after'),
    };
  };

  /** Sends an HTTP request to a control node. */
  readonly callControlNode = (
    at: number,
    method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE',
    path: string,
    body?: unknown,
    headers?: Record<string, string>,
  ): Promise<HttpReply> => this.call(`http://${this.controlNodeHosts[at]}:7101${path}`, method, body, headers);

  /** Advances virtual time until the promise settles, and returns its value. */
  readonly finish = async <T>(work: Promise<T>, timeoutMs = 30_000): Promise<T> => {
    let outcome: { value: T } | null = null;
    let fault: unknown = null;
    work.then(
      (value) => (outcome = { value }),
      (cause: unknown) => (fault = cause),
    );
    await this.world.until('the promise to settle', () => outcome !== null || fault !== null, timeoutMs);
    if (fault !== null) throw fault;
    return (outcome as unknown as { value: T }).value;
  };

  /** Announces all replicas to a control node. */
  readonly announceAll = (at = 0): Promise<HttpReply> =>
    this.callControlNode(at, 'POST', '/platform/replicas', [
      ...this.replicaHosts.map((host, index) => ({
        name: this.replicaName(index),
        address: `${host}:8000`,
        pool: 'main',
        incarnation: this.incarnationOf(this.replicaName(index)),
      })),
      { name: 'app-1', address: `${this.appHost}:8000`, pool: 'app', incarnation: this.incarnationOf('app-1') },
      ...(this.options.hasStore === true
        ? [
            {
              name: 'store-1',
              kind: 'store',
              address: `${this.storeHost}:8000`,
              pool: 'main',
              incarnation: this.incarnationOf('store-1'),
            },
          ]
        : []),
    ]);

  /** Announces one replica to a control node. */
  readonly announce = (name: string, at = 0): Promise<HttpReply> =>
    this.callControlNode(at, 'POST', '/platform/replicas', [
      {
        name,
        address: `${this.hostOfReplica(name)}:8000`,
        pool: name === 'app-1' ? 'app' : 'main',
        kind: name === 'store-1' ? 'store' : 'replica',
        incarnation: this.incarnationOf(name),
      },
    ]);

  /** Starts all nodes and replicas. */
  readonly startAll = async (): Promise<void> => {
    this.replicaHosts.forEach((host, at) => {
      this.startReplica(this.replicaName(at), host);
    });
    this.startReplica('app-1', this.appHost);
    if (this.options.hasStore === true) this.startReplica('store-1', this.storeHost);
    await Promise.all(this.controlNodeHosts.map((_, at) => this.startControlNode(at)));
    await Promise.all(this.gatewayHosts.map((_, at) => this.startGateway(at)));
  };

  /**
   * Starts everything, writes the initial configuration, grants the keys, and runs until every gateway is up to date.
   */
  readonly up = async (): Promise<void> => {
    await this.startAll();
    await this.world.until('the cluster bootstrap', () => this.controlNodes.every((one) => one?.isReady() === true));
    const put = await this.finish(
      this.callControlNode(0, 'PUT', '/operator/layout', this.options.config ?? sampleWorkload.config('weights-1'), {
        'if-match': '"0"',
        'change-id': 'first-layout',
      }),
    );
    if (put.status !== 200) throw new Error(`initial configuration rejected: ${JSON.stringify(put)}`);
    const announced = await this.finish(this.announceAll());
    if (announced.status !== 200) throw new Error(`replica announcement rejected: ${JSON.stringify(announced)}`);
    const tenants = this.options.tenants ?? sampleWorkload.tenantNames;
    for (const tenant of tenants) {
      const granted = await this.finish(
        this.callControlNode(
          0,
          'POST',
          '/platform/clients',
          { tenant, key: keyOf(tenant) },
          { 'change-id': `grant-${tenant}` },
        ),
      );
      if (granted.status !== 200) throw new Error(`key grant rejected: ${JSON.stringify(granted)}`);
    }
    await this.world.until('every gateway to be up to date', () =>
      this.gateways.every((one) => one?.freshness.isFresh() === true && one.stateView.logIndex() >= 1 + tenants.length),
    );
  };

  /** Returns the machine of a node. */
  readonly machineOf = (kind: 'control' | 'gateway', at: number): SimMachine =>
    this.world.machine((kind === 'control' ? this.controlNodeHosts[at] : this.gatewayHosts[at]) as string);

  /**
   * Cuts the power of a control node: a random share of the unsynced bytes survives; with `losesDisk` the disk is
   * wiped.
   */
  readonly killControlNode = (at: number, losesDisk = false): void => {
    const machine = this.machineOf('control', at);
    machine.kill(this.world.random());
    if (losesDisk) machine.disk.wipe();
    this.controlNodes[at] = null;
  };

  /** Boots the machine of a control node and starts the node. */
  readonly bootControlNode = async (at: number): Promise<void> => {
    this.machineOf('control', at).boot();
    await this.startControlNode(at);
  };

  /** Cuts the power of a gateway. */
  readonly killGateway = (at: number): void => {
    this.machineOf('gateway', at).kill();
    this.gateways[at] = null;
  };

  /** Boots the machine of a gateway and starts the gateway. */
  readonly bootGateway = async (at: number): Promise<void> => {
    this.machineOf('gateway', at).boot();
    await this.startGateway(at);
  };

  /** Drains, stops and restarts a gateway, as a rolling restart does. */
  readonly restartGateway = async (at: number): Promise<void> => {
    const gateway = this.gateways[at];
    await gateway?.drain();
    await gateway?.stop();
    await this.machineOf('gateway', at).shutDownHttp();
    this.killGateway(at);
    await this.bootGateway(at);
  };

  /** Stops and restarts a control node, as a rolling restart does. */
  readonly restartControlNode = async (at: number): Promise<void> => {
    await this.controlNodes[at]?.stop();
    this.killControlNode(at);
    await this.bootControlNode(at);
  };

  /** Cuts the power of a replica. */
  readonly killReplica = (name: string): void => {
    this.world.machine(this.hostOfReplica(name)).kill();
    this.runningReplicas.delete(name);
  };

  /** Replaces a control node by an empty one with another host and name. */
  readonly replaceControlNode = async (at: number, host: string, name: string): Promise<void> => {
    this.killControlNode(at, true);
    this.controlNodeHosts[at] = host;
    this.controlNodeNames[at] = name;
    await this.bootControlNode(at);
  };

  /** Boots the machine of a replica and starts a new incarnation. */
  readonly bootReplica = (name: string): void => {
    const host = this.hostOfReplica(name);
    this.world.machine(host).boot();
    this.startReplica(name, host);
  };
}
