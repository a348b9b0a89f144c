import { parseArgs } from 'node:util';
import { httpClients } from '@martenworks/upstream';
import { callerApi, gateways, operatorPages } from '@martenworks/gateway';
import { runInspector } from '@martenworks/inspector';
import { addresses, logs, machine, uncaughtExceptions } from '@martenworks/core-types';
import type { Listener, Log, Ports, WebHandler } from '@martenworks/core-types';
import { gatewaySettings, gatewayConfigs } from '@martenworks/settings';
import type { ValidationIssue, GatewaySettings, Role } from '@martenworks/settings';
import { operatorApi, replicaApi, gatewayControlNodes, recovery } from '@martenworks/control-plane';
import { realHttpServer } from './httpServer.js';
import { flags, readJson } from './flags.js';
import { watchVitals } from './vitals.js';

const exitCodes = { fine: 0, failed: 1, badSettings: 2, broken: 70 } as const;

const usage = `martenworks: the programs of a fleet

usage: martenworks ROLE [flags]

  gateway           takes callers' requests, selects replicas, streams their responses
  gateway-control   a control node: agrees on the configuration, tracks the replicas
  inspector         queries on the fleet's state, one-shot or as a shell
  check FILE        checks a settings or configuration file offline
  recover           after two lost disks: gives a stopped control node's state new members
  help              this page

martenworks ROLE --help lists the flags of a role.
`;

const complain = (faults: readonly ValidationIssue[]): void => {
  for (const fault of faults) process.stderr.write(`${fault.path}: ${fault.message}\n`);
};

const portsFor = (settings: GatewaySettings, log: Log): Ports => {
  const { host } = addresses.split(settings.peerListenAddress);
  return {
    clock: machine.clock,
    random: machine.random,
    net: machine.net(host),
    httpServer: realHttpServer,
    httpClient: httpClients.real(addresses.split(settings.http).host),
    disk: settings.data === null ? machine.noDisk() : machine.disk(settings.data),
    log,
  };
};

const untilAsked = (): Promise<string> =>
  new Promise((resolve) => {
    process.once('SIGTERM', () => resolve('SIGTERM'));
    process.once('SIGINT', () => resolve('SIGINT'));
  });

const runControlNode = async (settings: GatewaySettings, log: Log): Promise<number> => {
  const asked = untilAsked();
  const started = await gatewayControlNodes.start(settings, portsFor(settings, log));
  if (started.isErr()) {
    log.error('gateway control node failed to start', { fault: started.error });
    return exitCodes.failed;
  }
  const controlNode = started.value;
  const app = operatorApi(controlNode, watchVitals()).route('/', replicaApi(controlNode));
  const door = await realHttpServer.open(settings.http, app.fetch);
  if (door.isErr()) {
    log.error('HTTP listen failed', { address: settings.http, fault: door.error });
    return exitCodes.failed;
  }
  log.info('gateway control node started', {
    peerAddress: settings.peerAddress,
    http: settings.http,
    zone: settings.zone,
    incarnation: controlNode.acceptor.incarnation,
  });
  log.info('closing', { signal: await asked });
  await door.value.close();
  await controlNode.stop();
  return exitCodes.fine;
};

const runCounter = async (settings: GatewaySettings, log: Log): Promise<number> => {
  const asked = untilAsked();
  const started = await gateways.start(settings, portsFor(settings, log));
  if (started.isErr()) {
    log.error('gateway failed to start', { fault: started.error });
    return exitCodes.failed;
  }
  const gateway = started.value;
  const doors: Listener[] = [];
  const wanted: [string, WebHandler][] = [
    [settings.http, callerApi(gateway).fetch],
    ...(settings.operators === null
      ? []
      : [[settings.operators, operatorPages(gateway, watchVitals()).fetch] as [string, WebHandler]]),
  ];
  for (const [address, handler] of wanted) {
    const door = await realHttpServer.open(address, handler);
    if (door.isErr()) {
      log.error('HTTP listen failed', { address, fault: door.error });
      return exitCodes.failed;
    }
    doors.push(door.value);
  }
  log.info('gateway started', {
    peerAddress: settings.peerAddress,
    http: settings.http,
    operators: settings.operators,
    zone: settings.zone,
    incarnation: gateway.incarnation,
  });
  log.info('draining', { signal: await asked, live: gateway.stages.live.size });
  await gateway.drain();
  await gateway.stop();
  await Promise.all(doors.map((door) => door.close()));
  log.info('closed');
  return exitCodes.fine;
};

const runRole = async (role: Role, args: string[]): Promise<number> => {
  const asked = flags.read(role, args);
  if (asked.isHelp) {
    process.stdout.write(flags.help(role));
    return exitCodes.fine;
  }
  if (asked.settings.isErr()) {
    complain(asked.settings.error);
    return exitCodes.badSettings;
  }
  const settings = asked.settings.value;
  const log = settings.logs ? logs.named('martenworks', { role, node: settings.name }) : logs.silent();
  uncaughtExceptions.endProcess(log, exitCodes.broken);
  return role === 'gateway-control' ? runControlNode(settings, log) : runCounter(settings, log);
};

/** Names of roles and file kinds in earlier releases, still taken with a warning. */
const formerNames: Readonly<Record<string, string>> = {
  counter: 'gateway',
  postmaster: 'gateway-control',
  layout: 'configuration',
};

const currentKind = (name: string | undefined): string | undefined => {
  if (name === undefined || !Object.hasOwn(formerNames, name)) return name;
  process.stderr.write(`martenworks: ${name} is called ${formerNames[name]} now\n`);
  return formerNames[name];
};

const check = (args: string[]): number => {
  const { positionals, values } = parseArgs({ args, allowPositionals: true, options: { as: { type: 'string' } } });
  const path = positionals[0];
  if (path === undefined) {
    process.stderr.write('usage: martenworks check FILE [--as configuration|gateway|gateway-control]\n');
    return exitCodes.badSettings;
  }
  const read = readJson(path);
  if (read.isErr()) {
    complain(read.error);
    return exitCodes.badSettings;
  }
  const table = (read.value ?? {}) as Record<string, unknown>;
  const kind =
    currentKind(values.as) ??
    ('tiers' in table || 'lanes' in table ? 'configuration' : 'data' in table ? 'gateway-control' : 'gateway');
  const faults =
    kind === 'configuration'
      ? gatewayConfigs.check(table).match(
          () => [],
          (found) => found,
        )
      : gatewaySettings.check(kind as Role, table, {}).match(
          () => [],
          (found) => found,
        );
  if (faults.length > 0) {
    complain(faults);
    return exitCodes.badSettings;
  }
  process.stdout.write(`${path}: a valid ${kind}${kind === 'configuration' ? '' : ' settings file'}\n`);
  return exitCodes.fine;
};

const recoverUsage = `martenworks recover --data DIR --member NAME,IP:PORT,INCARNATION --member ... --member ...

For the day on which most control nodes lost their disks. Run it on a stopped survivor, naming all members, an odd number
(their incarnations are in GET /operator/status). Changes and claims that only the lost disks held are gone.
`;

const recover = async (args: string[]): Promise<number> => {
  const { values } = parseArgs({
    args,
    options: {
      data: { type: 'string' },
      member: { type: 'string', multiple: true },
      help: { type: 'boolean', short: 'h' },
    },
  });
  const members = (values.member ?? [])
    .map((text) => text.split(','))
    .map(([name = '', address = '', incarnation = '']) => ({ name, address, incarnation }));
  if (
    values.help === true ||
    values.data === undefined ||
    members.length < 3 ||
    members.length % 2 === 0 ||
    members.some((member) => member.incarnation === '')
  ) {
    (values.help === true ? process.stdout : process.stderr).write(recoverUsage);
    return values.help === true ? exitCodes.fine : exitCodes.badSettings;
  }
  const outcome = await recovery.recover(
    machine.disk(values.data),
    machine.clock,
    machine.random,
    logs.named('martenworks', { role: 'recover' }),
    members,
  );
  if (outcome.isErr()) {
    process.stderr.write(`not recovered: ${JSON.stringify(outcome.error)}\n`);
    return exitCodes.failed;
  }
  process.stdout.write(`recovered at log index ${outcome.value.logIndex}; start this control node again\n`);
  return exitCodes.fine;
};

export const run = async (args: string[]): Promise<number> => {
  const [name, ...rest] = args;
  const role = currentKind(name);
  switch (role) {
    case 'gateway':
    case 'gateway-control':
      return runRole(role, rest);
    case 'inspector':
      return runInspector(rest);
    case 'check':
      return check(rest);
    case 'recover':
      return recover(rest);
    case undefined:
    case 'help':
    case '--help':
    case '-h':
      process.stdout.write(usage);
      return exitCodes.fine;
    default:
      process.stderr.write(`martenworks: no such role: ${role}\n\n${usage}`);
      return exitCodes.badSettings;
  }
};
