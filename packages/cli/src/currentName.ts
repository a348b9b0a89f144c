/** Names of roles and file kinds in earlier releases, which are still taken with a warning. */

/** Former name to present name, as given on the command line. */
const currentNames: ReadonlyMap<string, string> = new Map([
  ['counter', 'gateway'],
  ['postmaster', 'gateway-control'],
  ['layout', 'configuration'],
]);

/** The present name for a former one, with a warning on stderr; any other name as it is. */
export const currentName = (name: string | undefined): string | undefined => {
  const current = name === undefined ? undefined : currentNames.get(name);
  if (current === undefined) return name;
  process.stderr.write(`martenworks: ${name} is called ${current} now\n`);
  return current;
};
