import { parseArgs } from 'node:util';
import { carriages } from '@martenworks/upstream';
import { callerWire, counters, operatorPages } from '@martenworks/counter';
import { runInspector } from '@martenworks/inspector';
import { addresses, logs, machine, uncaughtExceptions } from '@martenworks/core-types';
import type { Listener, Log, Ports, WebHandler } from '@martenworks/core-types';
import { envs, layouts } from '@martenworks/settings';
import type { Complaint, Env, Role } from '@martenworks/settings';
import { operatorWire, platformWire, postmasters, recovery } from '@martenworks/control-plane';
import { realDoor } from './door.js';
import { flags, readJson } from './flags.js';
import { watchVitals } from './vitals.js';

const exitCodes = { fine: 0, failed: 1, badEnv: 2, broken: 70 } as const;

const usage = `postrider: the programs of a martenworks fleet

usage: postrider ROLE [flags]

  counter       a front: takes callers' requests, places and relays them
  postmaster    a core node: agrees on the layout, knows the replicas
  inspector     queries on the fleet's state, one-shot or as a shell
  check FILE    checks an env or layout file offline
  recover       after two lost disks: gives a stopped postmaster's state new members
  help          this page

postrider ROLE --help tells the flags of a role.
`;

const complain = (faults: readonly Complaint[]): void => {
  for (const fault of faults) process.stderr.write(`${fault.path}: ${fault.message}\n`);
};

const portsFor = (env: Env, log: Log): Ports => {
  const { host } = addresses.split(env.coachListen);
  return {
    clock: machine.clock,
    random: machine.random,
    net: machine.net(host),
    door: realDoor,
    carriage: carriages.real(addresses.split(env.http).host),
    disk: env.data === null ? machine.noDisk() : machine.disk(env.data),
    log,
  };
};

const untilAsked = (): Promise<string> =>
  new Promise((settle) => {
    process.once('SIGTERM', () => settle('SIGTERM'));
    process.once('SIGINT', () => settle('SIGINT'));
  });

const runPostmaster = async (env: Env, log: Log): Promise<number> => {
  const asked = untilAsked();
  const started = await postmasters.start(env, portsFor(env, log));
  if (started.isErr()) {
    log.error('the postmaster did not start', { fault: started.error });
    return exitCodes.failed;
  }
  const postmaster = started.value;
  const app = operatorWire(postmaster, watchVitals()).route('/', platformWire(postmaster));
  const door = await realDoor.open(env.http, app.fetch);
  if (door.isErr()) {
    log.error('the HTTP address could not be opened', { address: env.http, fault: door.error });
    return exitCodes.failed;
  }
  log.info('the postmaster is up', {
    coach: env.coach,
    http: env.http,
    zone: env.zone,
    incarnation: postmaster.acceptor.incarnation,
  });
  log.info('closing', { signal: await asked });
  await door.value.close();
  await postmaster.stop();
  return exitCodes.fine;
};

const runCounter = async (env: Env, log: Log): Promise<number> => {
  const asked = untilAsked();
  const started = await counters.start(env, portsFor(env, log));
  if (started.isErr()) {
    log.error('the counter did not start', { fault: started.error });
    return exitCodes.failed;
  }
  const counter = started.value;
  const doors: Listener[] = [];
  const wanted: [string, WebHandler][] = [
    [env.http, callerWire(counter).fetch],
    ...(env.operators === null
      ? []
      : [[env.operators, operatorPages(counter, watchVitals()).fetch] as [string, WebHandler]]),
  ];
  for (const [address, handler] of wanted) {
    const door = await realDoor.open(address, handler);
    if (door.isErr()) {
      log.error('the HTTP address could not be opened', { address, fault: door.error });
      return exitCodes.failed;
    }
    doors.push(door.value);
  }
  log.info('the counter is up', {
    coach: env.coach,
    http: env.http,
    operators: env.operators,
    zone: env.zone,
    incarnation: counter.incarnation,
  });
  log.info('draining', { signal: await asked, live: counter.stages.live.size });
  await counter.drain();
  await counter.stop();
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
  if (asked.env.isErr()) {
    complain(asked.env.error);
    return exitCodes.badEnv;
  }
  const env = asked.env.value;
  const log = env.logs ? logs.named('postrider', { role, node: env.name }) : logs.silent();
  uncaughtExceptions.endProcess(log, exitCodes.broken);
  return role === 'postmaster' ? runPostmaster(env, log) : runCounter(env, log);
};

const check = (args: string[]): number => {
  const { positionals, values } = parseArgs({ args, allowPositionals: true, options: { as: { type: 'string' } } });
  const path = positionals[0];
  if (path === undefined) {
    process.stderr.write('usage: postrider check FILE [--as layout|counter|postmaster]\n');
    return exitCodes.badEnv;
  }
  const read = readJson(path);
  if (read.isErr()) {
    complain(read.error);
    return exitCodes.badEnv;
  }
  const table = (read.value ?? {}) as Record<string, unknown>;
  const kind =
    values.as ?? ('tiers' in table || 'lanes' in table ? 'layout' : 'data' in table ? 'postmaster' : 'counter');
  const faults =
    kind === 'layout'
      ? layouts.check(table).match(
          () => [],
          (found) => found,
        )
      : envs.check(kind as Role, table, {}).match(
          () => [],
          (found) => found,
        );
  if (faults.length > 0) {
    complain(faults);
    return exitCodes.badEnv;
  }
  process.stdout.write(`${path}: a sound ${kind}${kind === 'layout' ? '' : ' env'}\n`);
  return exitCodes.fine;
};

const recoverUsage = `postrider recover --data DIR --member NAME,IP:PORT,INCARNATION --member ... --member ...

For the day on which most postmasters lost their disks. Run it on a stopped survivor, naming all members, an odd number
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
    return values.help === true ? exitCodes.fine : exitCodes.badEnv;
  }
  const outcome = await recovery.recover(
    machine.disk(values.data),
    machine.clock,
    machine.random,
    logs.named('postrider', { role: 'recover' }),
    members,
  );
  if (outcome.isErr()) {
    process.stderr.write(`not recovered: ${JSON.stringify(outcome.error)}\n`);
    return exitCodes.failed;
  }
  process.stdout.write(`recovered at generation ${outcome.value.generation}; start this postmaster again\n`);
  return exitCodes.fine;
};

export const run = async (args: string[]): Promise<number> => {
  const [role, ...rest] = args;
  switch (role) {
    case 'counter':
    case 'postmaster':
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
      process.stderr.write(`postrider: no such role: ${role}\n\n${usage}`);
      return exitCodes.badEnv;
  }
};
