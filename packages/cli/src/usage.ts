/** The usage pages of the commands; those of the roles list their settings, see `flags.ts`. */

/** The page of the program itself. */
export const mainUsage = `martenworks: the programs of a fleet

usage: martenworks ROLE [flags]

  gateway           takes callers' requests, selects replicas, streams their responses
  gateway-control   a control node: agrees on the configuration, tracks the replicas
  inspector         queries on the fleet's state, one-shot or as a shell
  check FILE        checks a settings or configuration file offline
  recover           after two lost disks: gives a stopped control node's state new members
  help              this page

martenworks ROLE --help lists the flags of a role.
`;

/** The page of `check`. */
export const checkUsage = 'usage: martenworks check FILE [--as configuration|gateway|gateway-control]\n';

/** The page of `recover`. */
export const recoverUsage = `martenworks recover --data DIR --member NAME,IP:PORT,INCARNATION --member ... --member ...

For the day on which most control nodes lost their disks. Run it on a stopped survivor, naming all members, an odd number
(their incarnations are in GET /operator/status). Changes and claims that only the lost disks held are gone.
`;
