/** The command `martenworks inspector`: queries a running fleet and prints the results. */
import { createInterface } from 'node:readline/promises';
import { parseArgs } from 'node:util';
import { print } from './print.js';
import { exitCodes, help, query } from './queries.js';
import { httpRequest } from './statusReader.js';

export * from './queries.js';
export * from './statusReader.js';
export * from './print.js';

const usage = `martenworks inspector --at IP:PORT[,IP:PORT...] [--json] [QUERY]

Queries the control nodes at these HTTP addresses, and the gateways connected to them. With QUERY, prints the result and
exits with 0 (all nodes reached), 1 (some nodes not reached), 2 (invalid arguments), 3 (no node reached) or 4 (request
rejected). Without QUERY, starts a shell; quit leaves it.

${help}`;

const readFlags = (args: string[]) =>
  parseArgs({
    args,
    allowPositionals: true,
    options: {
      at: { type: 'string' },
      json: { type: 'boolean', default: false },
      help: { type: 'boolean', short: 'h' },
    },
  });

/** Runs the command with these arguments, as a shell if they contain no query; returns the exit code. */
export const runInspector = async (args: string[]): Promise<number> => {
  let parsed: ReturnType<typeof readFlags>;
  try {
    parsed = readFlags(args);
  } catch (cause) {
    process.stderr.write(`${cause instanceof Error ? cause.message : String(cause)}\n`);
    return exitCodes.usage;
  }
  const { values, positionals } = parsed;
  if (values.help === true) {
    process.stdout.write(usage);
    return exitCodes.success;
  }
  const addresses = (values.at ?? '').split(',').filter((part) => part !== '');
  if (addresses.length === 0) {
    process.stderr.write(usage);
    return exitCodes.usage;
  }
  const runQuery = async (words: readonly string[]): Promise<number> => {
    const outcome = await query(httpRequest, addresses, words);
    if (outcome.rows.length > 0 || outcome.code === exitCodes.success)
      process.stdout.write(values.json ? print.json(outcome.rows) : print.table(outcome.rows));
    if (outcome.note !== null) process.stderr.write(`${outcome.note}\n`);
    return outcome.code;
  };
  if (positionals.length > 0) return runQuery(positionals);
  const lines = createInterface({ input: process.stdin, output: process.stdout, prompt: 'fleet> ' });
  lines.prompt();
  for await (const line of lines) {
    const words = line
      .trim()
      .split(/\s+/)
      .filter((word) => word !== '');
    if (words[0] === 'quit' || words[0] === 'exit') break;
    if (words.length > 0) await runQuery(words);
    lines.prompt();
  }
  lines.close();
  return exitCodes.success;
};
