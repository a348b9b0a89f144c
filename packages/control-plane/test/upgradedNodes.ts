/** Starts control nodes on data folders of an earlier release by their ordinary start, in a simulated world. */
import { PlatformClient, bootFile } from '@martenworks/platform';
import { controlNodes, gatewayControlNodes } from '@martenworks/control-plane';
import type { ControlNode, GatewayControlNode } from '@martenworks/control-plane';
import { machine } from '@martenworks/core-types';
import type { Ports } from '@martenworks/core-types';
import { gatewaySettings } from '@martenworks/settings';
import { SimWorld } from '@martenworks/test-fleet';
import { upgradeData } from './upgradeData.js';

const numberOf = (node: string): number => Number(node.split('-')[1]);

const coreHost = (node: string): string => `127.77.1.${numberOf(node)}`;
const postmasterHost = (node: string): string => `127.78.0.${numberOf(node)}`;

const startCore = async (node: string, ports: Ports, dataFolder: string): Promise<ControlNode> => {
  const host = coreHost(node);
  const settings = {
    ...upgradeData.settings('core'),
    nodeName: node,
    ip: host,
    bindAddrs: { control: `${host}:8169` },
    dataFolder,
  };
  const { settings: env, platformApi } = bootFile.check(settings)._unsafeUnwrap();
  const backEnds = new PlatformClient(ports.httpClient, ports.clock, platformApi, env.listTimeoutMs);
  return (await controlNodes.start(env, ports, backEnds, env.seeds))._unsafeUnwrap();
};

const startPostmaster = async (node: string, ports: Ports, data: string): Promise<GatewayControlNode> => {
  const host = postmasterHost(node);
  const settings = {
    ...upgradeData.settings('postmaster'),
    name: node,
    coach: `${host}:7100`,
    coachListen: `${host}:7100`,
    http: `${host}:7101`,
    data,
  };
  const env = gatewaySettings.check('gateway-control', settings, {})._unsafeUnwrap();
  return (await gatewayControlNodes.start(env, ports))._unsafeUnwrap();
};

const onSimulatedDisk = async (world: SimWorld, node: string, host: string): Promise<Ports> => {
  const ports = world.machine(host).ports();
  await upgradeData.load(node, ports.disk);
  return ports;
};

/** Waits in the world's time for work that needs it. */
export const finish = async <T>(world: SimWorld, work: T | Promise<T>): Promise<T> => {
  let isDone = false;
  const note = (): void => {
    isDone = true;
  };
  void Promise.resolve(work).then(note, note);
  await world.until('the work', () => isDone);
  return work;
};

const seed = 1;

export const upgradedNodes = {
  /** One control node of the platform alone, on a copy of its folder on a real disk. */
  coreAlone: (node: string, copy: string): Promise<ControlNode> => {
    const ports = new SimWorld(seed).machine(coreHost(node)).ports();
    return startCore(node, { ...ports, disk: machine.disk(copy) }, copy);
  },
  /** One control node of the product's own wire alone, on a copy of its folder on a real disk. */
  postmasterAlone: (node: string, copy: string): Promise<GatewayControlNode> => {
    const ports = new SimWorld(seed).machine(postmasterHost(node)).ports();
    return startPostmaster(node, { ...ports, disk: machine.disk(copy) }, copy);
  },
  cores: (world: SimWorld, nodes: readonly string[]): Promise<ControlNode[]> =>
    finish(
      world,
      Promise.all(
        nodes.map(async (node) => startCore(node, await onSimulatedDisk(world, node, coreHost(node)), '/data')),
      ),
    ),
  postmasters: (world: SimWorld, nodes: readonly string[]): Promise<GatewayControlNode[]> =>
    finish(
      world,
      Promise.all(
        nodes.map(async (node) =>
          startPostmaster(node, await onSimulatedDisk(world, node, postmasterHost(node)), '/data'),
        ),
      ),
    ),
};
