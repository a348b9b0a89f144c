import type { Clock } from '@martenworks/core-types';
import type { Hello } from '@martenworks/peer-transport';

export interface MemberEntry {
  readonly hello: Hello;
  readonly ageMs: number;
}

interface Held {
  hello: Hello;
  heardAt: number;
}

const forgetMs = 120_000;
const entryLimit = 256;

export class MemberList {
  private readonly held = new Map<string, Held>();

  constructor(
    private readonly clock: Clock,
    private readonly own: () => Hello,
  ) {}

  readonly heard = (hello: Hello): void => this.merge([{ hello, ageMs: 0 }]);

  readonly merge = (entries: readonly MemberEntry[]): void => {
    const now = this.clock.now();
    for (const { hello, ageMs } of entries.slice(0, entryLimit)) {
      if (hello.name === this.own().name || ageMs > forgetMs) continue;
      const heardAt = now - ageMs;
      const held = this.held.get(hello.name);
      if (held === undefined || held.heardAt < heardAt) this.held.set(hello.name, { hello, heardAt });
    }
    for (const [name, held] of this.held) if (now - held.heardAt > forgetMs) this.held.delete(name);
  };

  readonly entries = (): MemberEntry[] => {
    const now = this.clock.now();
    return [
      { hello: this.own(), ageMs: 0 },
      ...[...this.held.values()].map(({ hello, heardAt }) => ({ hello, ageMs: now - heardAt })),
    ];
  };

  readonly withRole = (role: Hello['role']): Hello[] =>
    [...this.held.values()].map((held) => held.hello).filter((hello) => hello.role === role);
}
