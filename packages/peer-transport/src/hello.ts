/** The handshake's one message: who a node is. Each side sends it first, and reads the other's before anything else. */

/** The version of the protocol between nodes; peers of another version are not talked to. */
export const protocolVersion = 4;

/**
 * A node as it presents itself. `address` takes peer connections, `http` serves its pages (empty where there are none);
 * `incarnation` is new for each run of a process, or each data folder on a node that keeps one.
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
 * Builds the hello of a node, and checks one that came from another: `protocolVersionOf` reads its release whatever its form.
 */
export const hellos = { of, isHello, protocolVersionOf };
