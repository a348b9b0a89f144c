/** Reads the settings of a role and runs it. */
import { logs, uncaughtExceptions } from '@martenworks/core-types';
import type { Role } from '@martenworks/settings';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { flags } from '../flags.js';
import { printIssues } from '../validationOutput.js';
import { runGateway } from './runGateway.js';
import { runGatewayControl } from './runGatewayControl.js';

/** Resolves with the exit code once the role has stopped; prints the usage page on request, or the settings' issues. */
export const runRole = async (role: Role, args: string[]): Promise<ExitCode> => {
  const { isHelp, settings: checked } = flags.read(role, args);
  if (isHelp) {
    process.stdout.write(flags.help(role));
    return exitCodes.success;
  }
  if (checked.isErr()) {
    printIssues(checked.error);
    return exitCodes.invalidSettings;
  }
  const settings = checked.value;
  const log = settings.logs ? logs.named('martenworks', { role, node: settings.name }) : logs.silent();
  uncaughtExceptions.installHandler(log, exitCodes.crashed);
  return role === 'gateway-control' ? runGatewayControl(settings, log) : runGateway(settings, log);
};
