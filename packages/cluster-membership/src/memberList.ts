/** The list of known nodes, spread by gossip. */
import type { Clock } from '@martenworks/core-types';
import { hellos } from '@martenworks/peer-transport';
import type { Hello } from '@martenworks/peer-transport';

/** A node and the milliseconds since any node last had contact with it, as the sender of the entry measures them. */
export interface MemberEntry {
  readonly hello: Hello;
  readonly ageMs: number;
}

interface KnownMember {
  hello: Hello;
  seenAt: number;
}

const maxAgeMs = 120_000;
const maxEntries = 256;

const isEntry = (value: unknown): value is MemberEntry => {
  if (typeof value !== 'object' || value === null) return false;
  const { hello, ageMs } = value as { hello?: unknown; ageMs?: unknown };
  return typeof ageMs === 'number' && hellos.isHello(hello);
};

/** Validates the member entries received from a peer; invalid ones are skipped. */
export const memberEntries = {
  parse: (body: unknown): MemberEntry[] => (Array.isArray(body) ? body.filter(isEntry) : []),
};

/** Stores the newest hello of each other node; removes a node after two minutes without contact with any node. */
export class MemberList {
  private readonly members = new Map<string, KnownMember>();

  constructor(
    private readonly clock: Clock,
    private readonly own: () => Hello,
  ) {}

  /** Records that there is a connection to this node now. */
  readonly recordContact = (hello: Hello): void => this.merge([{ hello, ageMs: 0 }]);

  /** Merges the entries of another node; for each member the more recent contact wins. */
  readonly merge = (entries: readonly MemberEntry[]): void => {
    const now = this.clock.now();
    for (const { hello, ageMs } of entries.slice(0, maxEntries)) {
      if (hello.name === this.own().name || ageMs > maxAgeMs) continue;
      const seenAt = now - ageMs;
      const known = this.members.get(hello.name);
      if (known === undefined || known.seenAt < seenAt) this.members.set(hello.name, { hello, seenAt });
    }
    for (const [name, member] of this.members) if (now - member.seenAt > maxAgeMs) this.members.delete(name);
  };

  /** All entries to send to a peer, starting with this node itself. */
  readonly entries = (): MemberEntry[] => {
    const now = this.clock.now();
    return [
      { hello: this.own(), ageMs: 0 },
      ...[...this.members.values()].map(({ hello, seenAt }) => ({ hello, ageMs: now - seenAt })),
    ];
  };

  /** The other nodes with this role. */
  readonly withRole = (role: Hello['role']): Hello[] =>
    [...this.members.values()].map((member) => member.hello).filter((hello) => hello.role === role);
}
