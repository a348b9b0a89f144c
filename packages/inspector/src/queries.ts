/** The queries of the inspector: tables over the fleet, and requests to one node. */
import { readFileSync } from 'node:fs';
import { readFleet, rowsOf } from './statusReader.js';
import type { NodeRequest, NodeReply, Row } from './statusReader.js';
import { reachable, unreachable, views } from './views.js';
import type { View } from './views.js';

/** What a query answers; `note` is for the standard error stream, `code` the exit code. */
export interface Outcome {
  readonly rows: readonly Row[];
  readonly code: number;
  readonly note: string | null;
}

/** Exit codes: all reached, some nodes not reached, wrong words, nothing reached, refused. */
export const exitCodes = { fine: 0, partly: 1, usage: 2, unreachable: 3, refused: 4 } as const;

/** The queries and what each answers. */
export const help = `queries:
  nodes                        every node: role, zone, state, generation
  acks                         what each counter acknowledged to each control node
  members                      who votes, as each control node holds it
  replicas                     every replica: state, incarnation, running, suspicion
  index                        what is known to be kept, by replica
  leases                       who does which duty, under which number
  watchers                     whom watchers miss
  queues | budgets             waiting requests by pool and tier | extra shots left
  layout                       the layout in force
  change ID                    what became of a change
  why LANE TENANT FILE|TEXT    how a request would be placed, and why
  plan FILE                    what a JSON Patch would change and touch
  apply FILE PLAN-ID           applies that plan, on the base it was made for
`;

const patchHeaders = { 'content-type': 'application/json-patch+json' };

/** How one query reaches the fleet. */
interface FleetClient {
  readonly requestNode: NodeRequest;
  readonly addresses: readonly string[];
}

type Query = (client: FleetClient, words: readonly string[]) => Promise<Outcome>;

const usageError = (note: string): Outcome => ({ rows: [], code: exitCodes.usage, note });

const noneReachable = (role: string): Outcome => ({
  rows: [],
  code: exitCodes.unreachable,
  note: `no ${role} answers`,
});

const outcomeOf = (reply: NodeReply | null): Outcome => {
  if (reply === null) return noneReachable('control node');
  return { rows: [reply.body], code: reply.status < 300 ? exitCodes.fine : exitCodes.refused, note: null };
};

/** Asks the control nodes in turn until one answers. */
const requestFromAny = async (
  { requestNode, addresses }: FleetClient,
  path: string,
  options?: Parameters<NodeRequest>[2],
): Promise<NodeReply | null> => {
  for (const address of addresses) {
    const reply = await requestNode(address, path, options);
    if (reply !== null) return reply;
  }
  return null;
};

/** The text of the file, or what was given where there is no such file. */
const textOf = (fileOrText: string): string => {
  try {
    return readFileSync(fileOrText, 'utf8');
  } catch {
    return fileOrText;
  }
};

/** The JSON in the file; null where it cannot be read. */
const jsonOf = (path: string | undefined): unknown => {
  if (path === undefined) return null;
  try {
    return JSON.parse(readFileSync(path, 'utf8')) as unknown;
  } catch {
    return null;
  }
};

const requestPlan = (client: FleetClient, patch: unknown): Promise<NodeReply | null> =>
  requestFromAny(client, '/operator/plans', { method: 'POST', body: patch, headers: patchHeaders });

const layout: Query = async (client) => outcomeOf(await requestFromAny(client, '/operator/layout'));

const change: Query = async (client, [id]) =>
  id === undefined
    ? usageError(help)
    : outcomeOf(await requestFromAny(client, `/operator/changes/${encodeURIComponent(id)}`));

const why: Query = async ({ requestNode, addresses }, [lane, tenant, ...prompt]) => {
  if (lane === undefined || tenant === undefined || prompt.length === 0) return usageError(help);
  const fleet = await readFleet(requestNode, addresses);
  const [gateway] = fleet === null ? [] : reachable(fleet.gateways);
  if (gateway === undefined) return noneReachable('counter');
  const [name, status] = gateway;
  const body = { lane, tenant, prompt: textOf(prompt.join(' ')) };
  const reply = await requestNode(String(status.http), '/why', { method: 'POST', body });
  if (reply?.status !== 200) return { rows: reply === null ? [] : [reply.body], code: exitCodes.refused, note: null };
  return { rows: rowsOf(reply.body.candidates), code: exitCodes.fine, note: `as ${name} sees it` };
};

const plan: Query = async (client, [file]) => {
  const patch = jsonOf(file);
  if (patch === null) return usageError('plan FILE: a JSON Patch');
  const reply = await requestPlan(client, patch);
  if (reply?.status !== 200) return outcomeOf(reply);
  const { planId, base, touches, changes } = reply.body;
  const note = `plan ${String(planId)} on generation ${String(base)}; touches ${JSON.stringify(touches)}`;
  return { rows: rowsOf(changes), code: exitCodes.fine, note };
};

/** Plans again and applies only if that gives the plan that was named, so that nothing changed in between. */
const apply: Query = async (client, [file, planId]) => {
  const patch = jsonOf(file);
  if (patch === null || planId === undefined) return usageError('apply FILE PLAN-ID');
  const planned = await requestPlan(client, patch);
  if (planned?.status !== 200) return outcomeOf(planned);
  if (planned.body.planId !== planId) {
    const note = 'that plan was made for another base or another change; this is the plan now';
    return { rows: [planned.body], code: exitCodes.refused, note };
  }
  const headers = {
    ...patchHeaders,
    'if-match': `"${String(planned.body.base)}"`,
    'plan-id': planId,
    'change-id': `plan-${planId}`,
  };
  return outcomeOf(await requestFromAny(client, '/operator/layout', { method: 'PATCH', body: patch, headers }));
};

const queries = new Map<string, Query>(Object.entries({ layout, change, why, plan, apply }));

const showView = async ({ requestNode, addresses }: FleetClient, view: View): Promise<Outcome> => {
  const fleet = await readFleet(requestNode, addresses);
  if (fleet === null) return noneReachable('control node');
  const missing = unreachable(fleet);
  if (missing.length === 0) return { rows: view(fleet), code: exitCodes.fine, note: null };
  return { rows: view(fleet), code: exitCodes.partly, note: `not reached: ${missing.join(', ')}` };
};

/** Answers the query that the words name, `nodes` where there are none. */
export const query = async (
  requestNode: NodeRequest,
  addresses: readonly string[],
  words: readonly string[],
): Promise<Outcome> => {
  const [name = 'nodes', ...rest] = words;
  const client = { requestNode, addresses };
  const view = views.get(name);
  if (view !== undefined) return showView(client, view);
  return queries.get(name)?.(client, rest) ?? usageError(help);
};
