/** Reads the status pages of control nodes, and through them those of gateways, over HTTP. */
import { request } from 'undici';

/** One row of an answer: cells by column, as the node told them. */
export type Row = Record<string, unknown>;

/** A node's answer; a body that is no JSON object stands under `text`. */
export interface NodeReply {
  readonly status: number;
  readonly body: Row;
}

/** Asks a node at `IP:PORT`; null where it cannot be reached. */
export type NodeRequest = (
  address: string,
  path: string,
  options?: { method?: 'GET' | 'POST' | 'PATCH'; body?: unknown; headers?: Record<string, string> },
) => Promise<NodeReply | null>;

/** Longest wait for the head of an answer, and again for its body. */
const timeoutMs = 2_000;

/** The way to ask that the command uses. */
export const httpRequest: NodeRequest = async (address, path, options = {}) => {
  try {
    const response = await request(`http://${address}${path}`, {
      method: options.method ?? 'GET',
      headers: { 'content-type': 'application/json', ...options.headers },
      ...(options.body === undefined ? {} : { body: JSON.stringify(options.body) }),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    const text = await response.body.text();
    return { status: response.statusCode, body: text.startsWith('{') ? (JSON.parse(text) as Row) : { text } };
  } catch {
    return null;
  }
};

/** The status of every node that was found, by name; null where it cannot be reached. */
export interface FleetStatus {
  readonly controlNodes: ReadonlyMap<string, Row | null>;
  readonly gateways: ReadonlyMap<string, Row | null>;
}

/** The value as rows; none where it is no list. */
export const rowsOf = (value: unknown): Row[] => (Array.isArray(value) ? (value as Row[]) : []);

const readEach = async (
  requestNode: NodeRequest,
  addresses: ReadonlyMap<string, string>,
  path: string,
): Promise<Map<string, Row | null>> => {
  const read = async ([name, address]: [string, string]): Promise<[string, Row | null]> => {
    const reply = await requestNode(address, path);
    return [name, reply?.status === 200 ? { ...reply.body, http: address } : null];
  };
  return new Map(await Promise.all([...addresses].sort().map(read)));
};

/** Finds all nodes from the control nodes at the addresses and reads their status; null where none of them answers. */
export const readFleet = async (
  requestNode: NodeRequest,
  addresses: readonly string[],
): Promise<FleetStatus | null> => {
  const controlNodeAt = new Map<string, string>();
  const gatewayAt = new Map<string, string>();
  const addGateways = (status: Row | null): void => {
    for (const one of rowsOf(status?.counters)) gatewayAt.set(String(one.gateway), String(one.http));
  };
  for (const address of addresses) {
    const reply = await requestNode(address, '/operator/status');
    if (reply?.status !== 200) continue;
    for (const one of rowsOf(reply.body.controlNodes)) controlNodeAt.set(String(one.name), String(one.http));
    addGateways(reply.body);
  }
  if (controlNodeAt.size === 0) return null;
  const controlNodes = await readEach(requestNode, controlNodeAt, '/operator/status');
  for (const status of controlNodes.values()) addGateways(status);
  return { controlNodes, gateways: await readEach(requestNode, gatewayAt, '/status') };
};
