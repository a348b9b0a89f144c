import { Repeating } from '@martenworks/core-types';
import type { Ports } from '@martenworks/core-types';
import type { Hello } from '@martenworks/peer-transport';
import type { Lines } from './lines.js';
import type { RingNode } from './ring.js';
import type { Roster } from './roster.js';
import { Watch, heartMs } from './watch.js';

const frozenMs = 1_200;

export class Rounds {
  readonly watch: Watch;
  private readonly beater: Repeating;
  private beatAt: number;

  constructor(
    ports: Ports,
    private readonly own: () => Hello,
    private readonly roster: Roster,
    private readonly lines: () => Lines,
    private readonly reportLocally: (suspects: readonly string[]) => void,
  ) {
    const { clock, random } = ports;
    this.watch = new Watch(clock, own, this.nodes);
    this.beatAt = clock.now();
    this.beater = new Repeating(
      clock,
      () => heartMs * (0.95 + 0.1 * random.fraction()),
      () => this.beat(clock.now()),
    );
  }

  private readonly nodes = (): RingNode[] =>
    this.roster
      .entries()
      .filter(({ hello }) => hello.role !== 'inspector')
      .map(({ hello }) => ({ name: hello.name, zone: hello.zone }));

  readonly watcherAddresses = (): string[] => {
    const names = new Set(this.watch.watchers());
    return this.roster
      .entries()
      .filter(({ hello }) => names.has(hello.name))
      .map(({ hello }) => hello.address);
  };

  private readonly beat = (now: number): void => {
    if (now - this.beatAt > frozenMs) this.watch.clearAfterFreeze();
    this.beatAt = now;
    const watchers = new Set(this.watch.watchers());
    const suspects = this.watch.suspects();
    for (const connection of this.lines().open()) {
      if (connection.neighbour === null) continue;
      if (watchers.has(connection.neighbour.name)) connection.tell('heart', this.own().name);
      if (connection.neighbour.role === 'postmaster') connection.tell('suspects', suspects);
    }
    this.reportLocally(suspects);
  };

  readonly stop = (): void => this.beater.stop();
}
