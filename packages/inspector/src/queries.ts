/** The queries of the inspector: tables of the whole fleet's status, and requests to one node. */
import { readFileSync } from 'node:fs';
import { readFleet, rowsOf } from './statusReader.js';
import type { NodeRequest, NodeReply, Row } from './statusReader.js';
import { reachable, unreachable, views } from './views.js';
import type { View } from './views.js';

/** The result of a query; `note` is written to the standard error stream, `code` is the exit code. */
export interface Outcome {
  readonly rows: readonly Row[];
  readonly code: number;
  readonly note: string | null;
}

/** Exit codes: all nodes reached, some not reached, invalid arguments, no node reached, request rejected. */
export const exitCodes = { success: 0, partial: 1, usage: 2, unreachable: 3, rejected: 4 } as const;

/** Help text on the queries and their results. */
export const help = `queries:
  nodes                        every node: role, zone, state, generation
  acks                         log index that each gateway acknowledged to each control node
  members                      cluster members, as known to each control node
  replicas                     every replica: state, incarnation, running requests, suspicions
  index                        cached prompt blocks, by replica
  leases                       holder and fencing token of each lease
  watchers                     nodes that the failure detectors suspect
  queues | budgets             queued requests by pool and tier | remaining retries by pool
  layout                       the committed configuration
  change ID                    the outcome of a change
  why LANE TENANT FILE|TEXT    how a request with this prompt would be placed, and why
  plan FILE                    what a JSON Patch would change and affect
  apply FILE PLAN-ID           applies that plan, if its base is still current
`;

const patchHeaders = { 'content-type': 'application/json-patch+json' };

/** Sends the requests of a query: `addresses` are those of the control nodes. */
interface FleetClient {
  readonly requestNode: NodeRequest;
  readonly addresses: readonly string[];
}

type Query = (client: FleetClient, words: readonly string[]) => Promise<Outcome>;

const usageError = (note: string): Outcome => ({ rows: [], code: exitCodes.usage, note });

const noneReachable = (role: string): Outcome => ({
  rows: [],
  code: exitCodes.unreachable,
  note: `no ${role} responded`,
});

const outcomeOf = (reply: NodeReply | null): Outcome => {
  if (reply === null) return noneReachable('control node');
  return { rows: [reply.body], code: reply.status < 300 ? exitCodes.success : exitCodes.rejected, note: null };
};

/** Sends a request to the control nodes in turn until one responds; null if none does. */
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

/** The text of the file; the argument itself if there is no such file. */
const textOf = (fileOrText: string): string => {
  try {
    return readFileSync(fileOrText, 'utf8');
  } catch {
    return fileOrText;
  }
};

/** The JSON in the file; null if it cannot be read or parsed. */
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
  if (gateway === undefined) return noneReachable('gateway');
  const [name, status] = gateway;
  const body = { lane, tenant, prompt: textOf(prompt.join(' ')) };
  const reply = await requestNode(String(status.http), '/why', { method: 'POST', body });
  if (reply?.status !== 200) return { rows: reply === null ? [] : [reply.body], code: exitCodes.rejected, note: null };
  return { rows: rowsOf(reply.body.candidates), code: exitCodes.success, note: `as estimated by ${name}` };
};

const plan: Query = async (client, [file]) => {
  const patch = jsonOf(file);
  if (patch === null) return usageError('plan FILE: a JSON Patch');
  const reply = await requestPlan(client, patch);
  if (reply?.status !== 200) return outcomeOf(reply);
  const { planId, base, touches, changes } = reply.body;
  const note = `plan ${String(planId)} on generation ${String(base)}; touches ${JSON.stringify(touches)}`;
  return { rows: rowsOf(changes), code: exitCodes.success, note };
};

/** Plans again, and applies only if that returns the plan with this id: nothing has changed in between. */
const apply: Query = async (client, [file, planId]) => {
  const patch = jsonOf(file);
  if (patch === null || planId === undefined) return usageError('apply FILE PLAN-ID');
  const planned = await requestPlan(client, patch);
  if (planned?.status !== 200) return outcomeOf(planned);
  if (planned.body.planId !== planId) {
    const note = 'the plan was made for another base generation or another change; the current plan is printed';
    return { rows: [planned.body], code: exitCodes.rejected, note };
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
  if (missing.length === 0) return { rows: view(fleet), code: exitCodes.success, note: null };
  return { rows: view(fleet), code: exitCodes.partial, note: `not reached: ${missing.join(', ')}` };
};

/** Runs the query in `words`, its name followed by its arguments; `nodes` if there are none. */
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
