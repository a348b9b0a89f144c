/** The command `recover`: sets new members in the state on a surviving disk, after most control nodes lost theirs. */
import { parseArgs } from 'node:util';
import { recovery } from '@martenworks/control-plane';
import { logs, machine } from '@martenworks/core-types';
import type { Member } from '@martenworks/core-types';
import { parseCommandArgs } from '../commandArgs.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { recoverUsage } from '../usage.js';

const minMembers = 3;

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

const isValidMembership = (members: readonly Member[]): boolean =>
  members.length >= minMembers && members.length % 2 === 1 && members.every((member) => member.incarnation !== '');

const recoverDataFolder = async (dataFolder: string, members: readonly Member[]): Promise<ExitCode> => {
  const log = logs.named('martenworks', { role: 'recover' });
  const outcome = await recovery.recover(machine.disk(dataFolder), machine.clock, machine.random, log, members);
  if (outcome.isErr()) {
    process.stderr.write(`recovery failed: ${JSON.stringify(outcome.error)}\n`);
    return exitCodes.failed;
  }
  process.stdout.write(`recovered at log index ${outcome.value.logIndex}; start this control node again\n`);
  return exitCodes.success;
};

/** Resolves with the exit code; prints the usage page if the members are too few, even in number or incomplete. */
export const recover = async (args: string[]): Promise<ExitCode> => {
  const values = parseCommandArgs(() => readArgs(args))?.values;
  if (values?.help === true) {
    process.stdout.write(recoverUsage);
    return exitCodes.success;
  }
  const members = (values?.member ?? []).map(memberOf);
  if (values?.data === undefined || !isValidMembership(members)) {
    process.stderr.write(recoverUsage);
    return exitCodes.invalidSettings;
  }
  return recoverDataFolder(values.data, members);
};
