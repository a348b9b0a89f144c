/** Chooses the steps of a schedule. */
import { choiceKinds } from './choices.js';
import type { Choice, ChoiceKind } from './choices.js';
import { Courses, crashShares } from './courses.js';
import type { Planned } from './courses.js';
import type { Profile } from './profiles.js';
import type { SeededRandom } from './random.js';
import type { World } from './world.js';

const passLengths = [300, 700, 1_300, 2_600];
const votes = /:(accept|leaseRequest)(:reply)?$/;

/** Draws the next step of a schedule from those that are possible. */
export class Scheduler {
  private previous: Choice | null = null;
  private planned: Planned[] = [];
  private readonly courses: Courses;

  constructor(
    private readonly world: World,
    private readonly random: SeededRandom,
    private readonly profile: Profile,
  ) {
    this.courses = new Courses(world, random);
  }

  /** The next step: trouble for a voter right after its vote, a planned step, or one drawn by the profile's weights. */
  readonly next = (): Choice => {
    if (this.planned.length === 0 && this.random.chance(this.profile.course))
      this.planned = this.courses.plan(this.random.pick(this.profile.courses));
    const choice = this.troubleAfterVote() ?? this.fromPlan() ?? this.draw();
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

  private readonly fromPlan = (): Choice | null => {
    const planned = this.planned.shift();
    if (planned !== 'calm') return planned ?? null;
    const writing = this.world.nodes.find((node) => node.disk.pendingCount() > 0);
    if (writing !== undefined && this.random.chance(0.5)) return { do: 'sync', node: writing.name };
    return this.message('deliver') ?? (writing === undefined ? null : { do: 'sync', node: writing.name });
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
        const node = random.pick(
          world.nodes.filter((one) => one.isAlive() && (kind === 'leave' || world.mayLose(one))),
        );
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
