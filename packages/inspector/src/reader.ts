import { request } from 'undici';

export type Row = Record<string, unknown>;

export interface Told {
  readonly status: number;
  readonly body: Row;
}

export type Ask = (
  address: string,
  path: string,
  more?: { method?: 'GET' | 'POST' | 'PATCH'; body?: unknown; headers?: Record<string, string> },
) => Promise<Told | null>;

const timeoutMs = 2_000;

export const askOverHttp: Ask = async (address, path, more = {}) => {
  try {
    const response = await request(`http://${address}${path}`, {
      method: more.method ?? 'GET',
      headers: { 'content-type': 'application/json', ...more.headers },
      ...(more.body === undefined ? {} : { body: JSON.stringify(more.body) }),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    const text = await response.body.text();
    return { status: response.statusCode, body: text.startsWith('{') ? (JSON.parse(text) as Row) : { text } };
  } catch {
    return null;
  }
};

export interface Seen {
  readonly controlNodes: ReadonlyMap<string, Row | null>;
  readonly gateways: ReadonlyMap<string, Row | null>;
}

const rowsOf = (value: unknown): Row[] => (Array.isArray(value) ? (value as Row[]) : []);

export const look = async (ask: Ask, addresses: readonly string[]): Promise<Seen | null> => {
  const controlNodeAt = new Map<string, string>();
  const gatewayAt = new Map<string, string>();
  for (const address of addresses) {
    const told = await ask(address, '/operator/status');
    if (told?.status !== 200) continue;
    for (const one of rowsOf(told.body.controlNodes)) controlNodeAt.set(String(one.name), String(one.http));
    for (const one of rowsOf(told.body.counters)) gatewayAt.set(String(one.gateway), String(one.http));
  }
  if (controlNodeAt.size === 0) return null;
  const read = async (at: ReadonlyMap<string, string>, path: string): Promise<Map<string, Row | null>> =>
    new Map(
      await Promise.all(
        [...at].sort().map(async ([name, address]): Promise<[string, Row | null]> => {
          const told = await ask(address, path);
          return [name, told?.status === 200 ? { ...told.body, http: address } : null];
        }),
      ),
    );
  const controlNodes = await read(controlNodeAt, '/operator/status');
  for (const status of controlNodes.values())
    for (const one of rowsOf(status?.counters)) gatewayAt.set(String(one.gateway), String(one.http));
  return { controlNodes, gateways: await read(gatewayAt, '/status') };
};
