/** Dispatches to the command named by the first argument. */
import { runInspector } from '@martenworks/inspector';
import { check } from './commands/check.js';
import { recover } from './commands/recover.js';
import { runRole } from './commands/runRole.js';
import { exitCodes } from './exitCodes.js';
import { currentName } from './currentName.js';
import { mainUsage } from './usage.js';

/** Runs a command with its arguments; resolves with the exit code. */
export const run = async (args: string[]): Promise<number> => {
  const [name, ...rest] = args;
  const command = currentName(name);
  switch (command) {
    case 'gateway':
    case 'gateway-control':
      return runRole(command, rest);
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
      process.stdout.write(mainUsage);
      return exitCodes.success;
    default:
      process.stderr.write(`martenworks: no such role: ${command}\n\n${mainUsage}`);
      return exitCodes.invalidSettings;
  }
};
