/** The usage pages of the commands; those of the gateway roles are in `flags.ts`. */

/** The usage page of the program. */
export const mainUsage = `martenworks: the programs of a fleet

usage: martenworks ROLE [flags]

  gateway           serves client requests: selects replicas and streams their responses
  gateway-control   a control node: replicates the configuration, tracks the replicas
  inspector         queries the state of the fleet, once or in a shell
  check FILE        checks a settings or configuration file offline
  recover           after two lost disks: sets new members in the state of a stopped control node
  help              shows this page

martenworks ROLE --help lists the flags of a role.
`;

/** The usage page of `check`. */
export const checkUsage = 'usage: martenworks check FILE [--as configuration|gateway|gateway-control]\n';

/** The usage page of `recover`. */
export const recoverUsage = `martenworks recover --data DIR --member NAME,IP:PORT,INCARNATION --member ... --member ...

Restores the cluster after most control nodes lost their disks. Run it on a surviving control node that is stopped, and
name all new members, an odd number (their incarnations are in GET /operator/status). Changes and claims that were stored
only on the lost disks are lost.
`;
