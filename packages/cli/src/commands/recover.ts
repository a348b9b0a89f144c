/** The command `recover`: gives the state on a surviving disk new members, after most control nodes lost theirs. */
import { parseArgs } from 'node:util';
import { recovery } from '@martenworks/control-plane';
import { logs, machine } from '@martenworks/core-types';
import type { Member } from '@martenworks/core-types';
import { parseCommandArgs } from '../commandArgs.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { recoverUsage } from '../usage.js';

const smallestMembership = 3;

const readArgs = (args: string[]) =>
  parseArgs({
    args,
    options: {
      data: { type: 'string' },
      member: { type: 'string', multiple: true },
      help: { type: 'boolean', short: 'h' },
    },
  });

const memberOf = (text: string): Member => {
  const [name = '', address = '', incarnation = ''] = text.split(',');
  return { name, address, incarnation };
};

const isMembership = (members: readonly Member[]): boolean =>
  members.length >= smallestMembership &&
  members.length % 2 === 1 &&
  members.every((member) => member.incarnation !== '');

const recoverIn = async (dataFolder: string, members: readonly Member[]): Promise<ExitCode> => {
  const log = logs.named('martenworks', { role: 'recover' });
  const outcome = await recovery.recover(machine.disk(dataFolder), machine.clock, machine.random, log, members);
  if (outcome.isErr()) {
    process.stderr.write(`not recovered: ${JSON.stringify(outcome.error)}\n`);
    return exitCodes.failed;
  }
  process.stdout.write(`recovered at log index ${outcome.value.logIndex}; start this control node again\n`);
  return exitCodes.success;
};

/** Resolves with the exit code; prints the usage page when the members do not form a membership. */
export const recover = async (args: string[]): Promise<ExitCode> => {
  const values = parseCommandArgs(() => readArgs(args))?.values;
  if (values?.help === true) {
    process.stdout.write(recoverUsage);
    return exitCodes.success;
  }
  const members = (values?.member ?? []).map(memberOf);
  if (values?.data === undefined || !isMembership(members)) {
    process.stderr.write(recoverUsage);
    return exitCodes.invalidSettings;
  }
  return recoverIn(values.data, members);
};
