/** The hello, the only message of the handshake. Each side sends it first and accepts nothing before the other's. */

/** The version of the protocol between nodes; connections to peers with another version are closed. */
export const protocolVersion = 4;

/**
 * A node's description of itself. `release` is its protocol version, `address` the address for peer connections, and
 * `http` that of its HTTP pages (empty for none). `incarnation` identifies a run of the process, or the data folder on
 * a node that has one.
 */
export interface Hello {
  readonly release: number;
  readonly name: string;
  readonly role: 'edge' | 'control' | 'inspector';
  readonly address: string;
  readonly http: string;
  readonly zone: string;
  readonly incarnation: string;
}

const roles: readonly unknown[] = ['edge', 'control', 'inspector'] satisfies Hello['role'][];
const textFields = ['name', 'address', 'http', 'zone', 'incarnation'] as const satisfies (keyof Hello)[];

const of = (
  role: Hello['role'],
  node: {
    readonly name: string;
    readonly peerAddress: string;
    readonly http: string;
    readonly operators: string | null;
    readonly zone: string;
  },
  incarnation: string,
): Hello => ({
  release: protocolVersion,
  name: node.name,
  role,
  address: node.peerAddress,
  http: role === 'edge' ? (node.operators ?? '') : node.http,
  zone: node.zone,
  incarnation,
});

const isHello = (value: unknown): value is Hello => {
  if (typeof value !== 'object' || value === null) return false;
  const fields = value as Record<string, unknown>;
  return (
    typeof fields.release === 'number' &&
    roles.includes(fields.role) &&
    textFields.every((name) => typeof fields[name] === 'string')
  );
};

const protocolVersionOf = (value: unknown): unknown =>
  typeof value === 'object' && value !== null ? (value as { release?: unknown }).release : undefined;

/**
 * Builds the hello of a node and validates received ones. `protocolVersionOf` reads the version of a value that need
 * not be a valid hello; it is undefined where there is none.
 */
export const hellos = { of, isHello, protocolVersionOf };
