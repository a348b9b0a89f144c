/** Names of roles and file kinds in earlier releases, which are still accepted with a warning. */

/** Maps each deprecated name to the current one. */
const currentNames: ReadonlyMap<string, string> = new Map([
  ['counter', 'gateway'],
  ['postmaster', 'gateway-control'],
  ['layout', 'configuration'],
]);

/** Returns the current name for a deprecated one, with a warning on stderr, and any other name unchanged. */
export const currentName = (name: string | undefined): string | undefined => {
  const current = name === undefined ? undefined : currentNames.get(name);
  if (current === undefined) return name;
  process.stderr.write(`martenworks: ${name} is called ${current} now\n`);
  return current;
};
