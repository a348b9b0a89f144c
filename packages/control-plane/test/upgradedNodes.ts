/** Starts control nodes on data folders of an earlier release in a simulated world, as in normal operation. */
import { PlatformClient, bootFile } from '@martenworks/platform';
import { controlNodes, gatewayControlNodes } from '@martenworks/control-plane';
import type { ControlNode, GatewayControlNode } from '@martenworks/control-plane';
import { machine } from '@martenworks/core-types';
import type { Ports } from '@martenworks/core-types';
import { gatewaySettings } from '@martenworks/settings';
import { SimWorld } from '@martenworks/test-fleet';
import { upgradeData } from './upgradeData.js';

const numberOf = (node: string): number => Number(node.split('-')[1]);

const controlNodeHost = (node: string): string => `127.77.1.${numberOf(node)}`;
const gatewayControlHost = (node: string): string => `127.78.0.${numberOf(node)}`;

const startOnPorts = async (node: string, ports: Ports, dataFolder: string): Promise<ControlNode> => {
  const host = controlNodeHost(node);
  const settings = {
    ...upgradeData.settings('core'),
    nodeName: node,
    ip: host,
    bindAddrs: { control: `${host}:8169` },
    dataFolder,
  };
  const { settings: nodeSettings, platformApi } = bootFile.check(settings)._unsafeUnwrap();
  const backendClient = new PlatformClient(ports.httpClient, ports.clock, platformApi, nodeSettings.listTimeoutMs);
  return (await controlNodes.start(nodeSettings, ports, backendClient, nodeSettings.seeds))._unsafeUnwrap();
};

const startGatewayControlOnPorts = async (node: string, ports: Ports, data: string): Promise<GatewayControlNode> => {
  const host = gatewayControlHost(node);
  const settings = {
    ...upgradeData.settings('postmaster'),
    name: node,
    coach: `${host}:7100`,
    coachListen: `${host}:7100`,
    http: `${host}:7101`,
    data,
  };
  const gatewayControlSettings = gatewaySettings.check('gateway-control', settings, {})._unsafeUnwrap();
  return (await gatewayControlNodes.start(gatewayControlSettings, ports))._unsafeUnwrap();
};

const portsWithData = async (world: SimWorld, node: string, host: string): Promise<Ports> => {
  const ports = world.machine(host).ports();
  await upgradeData.load(node, ports.disk);
  return ports;
};

/** Runs the simulated world until the work is done, and returns its result. */
export const finish = async <T>(world: SimWorld, work: T | Promise<T>): Promise<T> => {
  let isDone = false;
  const markDone = (): void => {
    isDone = true;
  };
  void Promise.resolve(work).then(markDone, markDone);
  await world.until('the work', () => isDone);
  return work;
};

const seed = 1;

export const upgradedNodes = {
  /** Starts a single platform control node on a copy of its folder on the real disk. */
  startControlNode: (node: string, copy: string): Promise<ControlNode> => {
    const ports = new SimWorld(seed).machine(controlNodeHost(node)).ports();
    return startOnPorts(node, { ...ports, disk: machine.disk(copy) }, copy);
  },
  /** Starts a single gateway control node on a copy of its folder on the real disk. */
  startGatewayControlNode: (node: string, copy: string): Promise<GatewayControlNode> => {
    const ports = new SimWorld(seed).machine(gatewayControlHost(node)).ports();
    return startGatewayControlOnPorts(node, { ...ports, disk: machine.disk(copy) }, copy);
  },
  /** Starts platform control nodes together, on simulated disks with the contents of their folders. */
  startControlNodes: (world: SimWorld, nodes: readonly string[]): Promise<ControlNode[]> =>
    finish(
      world,
      Promise.all(
        nodes.map(async (node) => startOnPorts(node, await portsWithData(world, node, controlNodeHost(node)), '/data')),
      ),
    ),
  /** Starts gateway control nodes together, on simulated disks with the contents of their folders. */
  startGatewayControlNodes: (world: SimWorld, nodes: readonly string[]): Promise<GatewayControlNode[]> =>
    finish(
      world,
      Promise.all(
        nodes.map(async (node) =>
          startGatewayControlOnPorts(node, await portsWithData(world, node, gatewayControlHost(node)), '/data'),
        ),
      ),
    ),
};
