/** All capacity probes, in the order in which they run. */
import { ballotsProbe } from './probes/ballots.js';
import { claimsProbe } from './probes/claims.js';
import { gossipProbe } from './probes/gossip.js';
import { joinsProbe } from './probes/joins.js';
import { layoutProbe } from './probes/layout.js';
import { leasesProbe } from './probes/leases.js';
import { pingsProbe } from './probes/pings.js';
import { indexProbe } from './probes/prefixIndex.js';
import type { Probe } from './probes/probe.js';
import { pushesProbe } from './probes/pushes.js';
import { relaysProbe } from './probes/relays.js';
import { replicaListsProbe } from './probes/replicaLists.js';
import { routeIndexProbe } from './probes/routeIndex.js';
import { routeListProbe } from './probes/routeList.js';
import { routePlacementProbe } from './probes/routePlacement.js';
import { routePushProbe } from './probes/routePush.js';

/** The first four measure edges and their control nodes, the others gateways and theirs. */
export const probes: readonly Probe[] = [
  routePushProbe,
  routeIndexProbe,
  routeListProbe,
  routePlacementProbe,
  pingsProbe,
  pushesProbe,
  ballotsProbe,
  claimsProbe,
  layoutProbe,
  indexProbe,
  joinsProbe,
  relaysProbe,
  gossipProbe,
  leasesProbe,
  replicaListsProbe,
];
