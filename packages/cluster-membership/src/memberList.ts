/** The nodes that this node knows of, spread by gossip. */
import type { Clock } from '@martenworks/core-types';
import { hellos } from '@martenworks/peer-transport';
import type { Hello } from '@martenworks/peer-transport';

/** A node, and the milliseconds since anyone saw it, by the clock of whoever tells it. */
export interface MemberEntry {
  readonly hello: Hello;
  readonly ageMs: number;
}

interface KnownMember {
  hello: Hello;
  seenAt: number;
}

const forgetMs = 120_000;
const entryLimit = 256;

const isEntry = (value: unknown): value is MemberEntry => {
  if (typeof value !== 'object' || value === null) return false;
  const { hello, ageMs } = value as { hello?: unknown; ageMs?: unknown };
  return typeof ageMs === 'number' && hellos.isHello(hello);
};

/** Checks member entries that came from a peer; those that can't be read are left out. */
export const memberEntries = {
  parse: (body: unknown): MemberEntry[] => (Array.isArray(body) ? body.filter(isEntry) : []),
};

/** Keeps the newest hello of each other node; one that nobody has seen for two minutes is forgotten. */
export class MemberList {
  private readonly members = new Map<string, KnownMember>();

  constructor(
    private readonly clock: Clock,
    private readonly own: () => Hello,
  ) {}

  /** Notes that this node is connected now. */
  readonly recordContact = (hello: Hello): void => this.merge([{ hello, ageMs: 0 }]);

  /** Takes another node's entries; of each node the newer sighting stays. */
  readonly merge = (entries: readonly MemberEntry[]): void => {
    const now = this.clock.now();
    for (const { hello, ageMs } of entries.slice(0, entryLimit)) {
      if (hello.name === this.own().name || ageMs > forgetMs) continue;
      const seenAt = now - ageMs;
      const known = this.members.get(hello.name);
      if (known === undefined || known.seenAt < seenAt) this.members.set(hello.name, { hello, seenAt });
    }
    for (const [name, member] of this.members) if (now - member.seenAt > forgetMs) this.members.delete(name);
  };

  /** All entries to send to a peer, this node's own first. */
  readonly entries = (): MemberEntry[] => {
    const now = this.clock.now();
    return [
      { hello: this.own(), ageMs: 0 },
      ...[...this.members.values()].map(({ hello, seenAt }) => ({ hello, ageMs: now - seenAt })),
    ];
  };

  /** The other nodes of one role. */
  readonly withRole = (role: Hello['role']): Hello[] =>
    [...this.members.values()].map((member) => member.hello).filter((hello) => hello.role === role);
}
