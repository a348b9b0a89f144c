/** Reads the status pages of control nodes and of the gateways connected to them, over HTTP. */
import { request } from 'undici';

/** One row of a result: values by column, as the node returned them. */
export type Row = Record<string, unknown>;

/** A node's response; a body that is not a JSON object is stored as `text`. */
export interface NodeReply {
  readonly status: number;
  readonly body: Row;
}

/** Sends a request to the node at `IP:PORT`; null if it cannot be reached. */
export type NodeRequest = (
  address: string,
  path: string,
  options?: { method?: 'GET' | 'POST' | 'PATCH'; body?: unknown; headers?: Record<string, string> },
) => Promise<NodeReply | null>;

/** Timeout for the head of a response, and again for its body. */
const timeoutMs = 2_000;

/** Sends the request over HTTP. */
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

/** The status of each known node, by name; null if it cannot be reached. */
export interface FleetStatus {
  readonly controlNodes: ReadonlyMap<string, Row | null>;
  readonly gateways: ReadonlyMap<string, Row | null>;
}

/** The value as rows; none if it is not an array. */
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

/** Reads the status of all nodes, found through the control nodes at `addresses`; null if none of them responds. */
export const readFleet = async (
  requestNode: NodeRequest,
  addresses: readonly string[],
): Promise<FleetStatus | null> => {
  const controlNodeAt = new Map<string, string>();
  const gatewayAt = new Map<string, string>();
  const addGateways = (status: Row | null): void => {
    for (const row of rowsOf(status?.counters)) gatewayAt.set(String(row.gateway), String(row.http));
  };
  for (const address of addresses) {
    const reply = await requestNode(address, '/operator/status');
    if (reply?.status !== 200) continue;
    for (const row of rowsOf(reply.body.controlNodes)) controlNodeAt.set(String(row.name), String(row.http));
    addGateways(reply.body);
  }
  if (controlNodeAt.size === 0) return null;
  const controlNodes = await readEach(requestNode, controlNodeAt, '/operator/status');
  for (const status of controlNodes.values()) addGateways(status);
  return { controlNodes, gateways: await readEach(requestNode, gatewayAt, '/status') };
};
