import { choiceKinds } from './choices.js';
import type { Choice, ChoiceKind } from './choices.js';
import type { SeededRandom } from './random.js';
import type { World } from './world.js';

type Weights = Readonly<Record<ChoiceKind, number>>;

/** How often each kind of step is drawn, against the others, and how often trouble follows a vote. */
export interface Profile {
  readonly name: string;
  readonly weights: Weights;
  readonly crashAfterVote: number;
  readonly cutAfterVote: number;
}

const usual: Weights = {
  deliver: 50,
  drop: 3,
  double: 2,
  sync: 40,
  failSync: 0.7,
  crash: 0.8,
  restart: 4,
  loseDisk: 0.6,
  cut: 1.5,
  heal: 3,
  join: 0.6,
  leave: 0.3,
  order: 4,
  resend: 2,
  read: 3,
  upkeep: 3,
  settleRival: 3,
  dutyTick: 1.5,
  nextTimer: 5,
  pass: 0.5,
};

const ballots: Profile = {
  name: 'ballots',
  weights: { ...usual, join: 0, leave: 0, loseDisk: 0, dutyTick: 0, upkeep: 1, order: 6, resend: 3 },
  crashAfterVote: 0.05,
  cutAfterVote: 0.03,
};

const membership: Profile = {
  name: 'membership',
  weights: { ...usual, dutyTick: 0, loseDisk: 1.5, join: 2, leave: 0.6, upkeep: 8, pass: 2, order: 2, resend: 1 },
  crashAfterVote: 0.02,
  cutAfterVote: 0.02,
};

const leases: Profile = {
  name: 'leases',
  weights: {
    ...usual,
    order: 0.7,
    resend: 0.3,
    read: 0.3,
    dutyTick: 12,
    pass: 2.5,
    failSync: 1.5,
    crash: 1.5,
    upkeep: 1,
  },
  crashAfterVote: 0.05,
  cutAfterVote: 0.02,
};

const mixed: Profile = { name: 'mixed', weights: usual, crashAfterVote: 0.03, cutAfterVote: 0.02 };

export const profiles: readonly Profile[] = [ballots, membership, leases, mixed];

const passLengths = [300, 700, 1_300, 2_600];
const crashShares = [0, 0.5, 1];
const votes = /:(accept|leaseAsk)(:reply)?$/;

/** Draws the next step of a schedule from those that are possible. */
export class Scheduler {
  private previous: Choice | null = null;

  constructor(
    private readonly world: World,
    private readonly random: SeededRandom,
    private readonly profile: Profile,
  ) {}

  readonly next = (): Choice => {
    const choice = this.troubleAfterVote() ?? this.draw();
    this.previous = choice;
    return choice;
  };

  private readonly troubleAfterVote = (): Choice | null => {
    const previous = this.previous;
    if (previous?.do !== 'deliver' || !votes.test(previous.message)) return null;
    const [from = '', to = ''] = (previous.message.split(':')[0] ?? '').split('>');
    if (this.random.chance(this.profile.crashAfterVote))
      return { do: 'crash', node: to, keptShare: this.random.pick(crashShares) ?? 0 };
    if (this.random.chance(this.profile.cutAfterVote))
      return { do: 'cut', from: to, to: from, isNoticed: this.random.chance(0.5) };
    return null;
  };

  private readonly draw = (): Choice => {
    for (;;) {
      const choice = this.candidate(this.drawKind());
      if (choice !== null) return choice;
    }
  };

  private readonly drawKind = (): ChoiceKind => {
    const total = choiceKinds.reduce((sum, kind) => sum + this.profile.weights[kind], 0);
    let left = this.random.fraction() * total;
    for (const kind of choiceKinds) {
      left -= this.profile.weights[kind];
      if (left < 0) return kind;
    }
    return 'nextTimer';
  };

  private readonly runningNode = (): string | undefined =>
    this.random.pick(this.world.nodes.filter((node) => node.isAlive()))?.name;

  private readonly message = (kind: 'deliver' | 'drop' | 'double'): Choice | null => {
    const { inFlight } = this.world.network;
    const message = this.random.pick(inFlight);
    if (message === undefined) return null;
    const at = inFlight.filter((one) => one.label === message.label).indexOf(message);
    return { do: kind, message: message.label, at };
  };

  private readonly candidate = (kind: ChoiceKind): Choice | null => {
    const { world, random } = this;
    switch (kind) {
      case 'deliver':
      case 'drop':
      case 'double':
        return this.message(kind);
      case 'sync':
      case 'failSync': {
        const node = random.pick(world.nodes.filter((one) => one.disk.pendingCount() > 0));
        return node === undefined ? null : { do: kind, node: node.name };
      }
      case 'restart': {
        const node = random.pick(world.nodes.filter((one) => !one.isAlive() && !one.isAway));
        return node === undefined ? null : { do: kind, node: node.name };
      }
      case 'join': {
        const node = random.pick(world.nodes.filter((one) => one.isAway));
        return node === undefined ? null : { do: kind, node: node.name };
      }
      case 'loseDisk':
      case 'leave': {
        const node = random.pick(world.nodes.filter((one) => one.isAlive() && world.mayLose(one)));
        return node === undefined ? null : { do: kind, node: node.name };
      }
      case 'cut': {
        const [from, to] = [random.pick(world.nodes), random.pick(world.nodes)];
        if (from === undefined || to === undefined || from === to) return null;
        return { do: 'cut', from: from.name, to: to.name, isNoticed: random.chance(0.6) };
      }
      case 'heal': {
        const link = random.pick(world.network.cutLinks());
        return link === undefined ? null : { do: 'heal', from: link[0], to: link[1] };
      }
      case 'nextTimer':
        return world.clock.hasTimers() ? { do: 'nextTimer' } : { do: 'pass', ms: passLengths[0] as number };
      case 'pass':
        return { do: 'pass', ms: random.pick(passLengths) ?? 0 };
      default: {
        const node = this.runningNode();
        if (node === undefined) return null;
        return this.onRunning(kind, node);
      }
    }
  };

  private readonly onRunning = (
    kind: 'crash' | 'order' | 'resend' | 'read' | 'upkeep' | 'settleRival' | 'dutyTick',
    node: string,
  ): Choice => {
    switch (kind) {
      case 'crash':
        return { do: kind, node, keptShare: this.random.pick(crashShares) ?? 0 };
      case 'order':
      case 'resend':
      case 'read':
        return { do: kind, node, operator: Math.floor(this.random.fraction() * this.world.operators.length) };
      default:
        return { do: kind, node };
    }
  };
}
