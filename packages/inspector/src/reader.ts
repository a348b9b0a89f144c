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

const patienceMs = 2_000;

export const askOverHttp: Ask = async (address, path, more = {}) => {
  try {
    const receipt = await request(`http://${address}${path}`, {
      method: more.method ?? 'GET',
      headers: { 'content-type': 'application/json', ...more.headers },
      ...(more.body === undefined ? {} : { body: JSON.stringify(more.body) }),
      headersTimeout: patienceMs,
      bodyTimeout: patienceMs,
    });
    const text = await receipt.body.text();
    return { status: receipt.statusCode, body: text.startsWith('{') ? (JSON.parse(text) as Row) : { text } };
  } catch {
    return null;
  }
};

export interface Seen {
  readonly postmasters: ReadonlyMap<string, Row | null>;
  readonly counters: ReadonlyMap<string, Row | null>;
}

const rowsOf = (value: unknown): Row[] => (Array.isArray(value) ? (value as Row[]) : []);

export const look = async (ask: Ask, addresses: readonly string[]): Promise<Seen | null> => {
  const postmasterAt = new Map<string, string>();
  const counterAt = new Map<string, string>();
  for (const address of addresses) {
    const told = await ask(address, '/operator/status');
    if (told?.status !== 200) continue;
    for (const one of rowsOf(told.body.postmasters)) postmasterAt.set(String(one.name), String(one.http));
    for (const one of rowsOf(told.body.counters)) counterAt.set(String(one.counter), String(one.http));
  }
  if (postmasterAt.size === 0) return null;
  const read = async (at: ReadonlyMap<string, string>, path: string): Promise<Map<string, Row | null>> =>
    new Map(
      await Promise.all(
        [...at].sort().map(async ([name, address]): Promise<[string, Row | null]> => {
          const told = await ask(address, path);
          return [name, told?.status === 200 ? { ...told.body, http: address } : null];
        }),
      ),
    );
  const postmasters = await read(postmasterAt, '/operator/status');
  for (const status of postmasters.values())
    for (const one of rowsOf(status?.counters)) counterAt.set(String(one.counter), String(one.http));
  return { postmasters, counters: await read(counterAt, '/status') };
};
