/** Chooses the steps of a schedule. */
import { choiceKinds } from './choices.js';
import type { Choice, ChoiceKind } from './choices.js';
import { ScenarioPlanner, crashKeptShares } from './scenarioPlanner.js';
import type { PlannedStep } from './scenarioPlanner.js';
import type { Profile } from './profiles.js';
import type { SeededRandom } from './seededRandom.js';
import type { World } from './world.js';

const passLengthsMs = [300, 700, 1_300, 2_600];
const voteLabel = /:(accept|leaseRequest)(:reply)?$/;

/** Draws each next step of a schedule from the steps that are possible in the current state. */
export class Scheduler {
  private previous: Choice | null = null;
  private planned: PlannedStep[] = [];
  private readonly scenarios: ScenarioPlanner;

  constructor(
    private readonly world: World,
    private readonly random: SeededRandom,
    private readonly profile: Profile,
  ) {
    this.scenarios = new ScenarioPlanner(world, random);
  }

  /** The next step: a fault at a voter right after its vote, else a planned step, else one drawn by the profile's weights. */
  readonly next = (): Choice => {
    if (this.planned.length === 0 && this.random.chance(this.profile.scenarioProbability))
      this.planned = this.scenarios.plan(this.random.pick(this.profile.scenarios));
    const choice = this.faultAfterVote() ?? this.nextPlanned() ?? this.draw();
    this.previous = choice;
    return choice;
  };

  private readonly faultAfterVote = (): Choice | null => {
    const previous = this.previous;
    if (previous?.do !== 'deliver' || !voteLabel.test(previous.message)) return null;
    const [from = '', to = ''] = (previous.message.split(':')[0] ?? '').split('>');
    if (this.random.chance(this.profile.crashAfterVote))
      return { do: 'crash', node: to, keptShare: this.random.pick(crashKeptShares) ?? 0 };
    if (this.random.chance(this.profile.cutAfterVote))
      return { do: 'cut', from: to, to: from, isNoticed: this.random.chance(0.5) };
    return null;
  };

  private readonly nextPlanned = (): Choice | null => {
    const planned = this.planned.shift();
    if (planned !== 'calm') return planned ?? null;
    const writer = this.world.nodes.find((node) => node.disk.pendingCount() > 0);
    if (writer !== undefined && this.random.chance(0.5)) return { do: 'sync', node: writer.name };
    return this.messageChoice('deliver') ?? (writer === undefined ? null : { do: 'sync', node: writer.name });
  };

  private readonly draw = (): Choice => {
    for (;;) {
      const choice = this.choiceOf(this.drawKind());
      if (choice !== null) return choice;
    }
  };

  private readonly drawKind = (): ChoiceKind => {
    const total = choiceKinds.reduce((sum, kind) => sum + this.profile.weights[kind], 0);
    let remaining = this.random.fraction() * total;
    for (const kind of choiceKinds) {
      remaining -= this.profile.weights[kind];
      if (remaining < 0) return kind;
    }
    return 'nextTimer';
  };

  private readonly runningNode = (): string | undefined =>
    this.random.pick(this.world.nodes.filter((node) => node.isAlive()))?.name;

  private readonly messageChoice = (kind: 'deliver' | 'drop' | 'double'): Choice | null => {
    const { inFlight } = this.world.network;
    const message = this.random.pick(inFlight);
    if (message === undefined) return null;
    const at = inFlight.filter((one) => one.label === message.label).indexOf(message);
    return { do: kind, message: message.label, at };
  };

  private readonly choiceOf = (kind: ChoiceKind): Choice | null => {
    const { world, random } = this;
    switch (kind) {
      case 'deliver':
      case 'drop':
      case 'double':
        return this.messageChoice(kind);
      case 'sync':
      case 'failSync': {
        const node = random.pick(world.nodes.filter((one) => one.disk.pendingCount() > 0));
        return node === undefined ? null : { do: kind, node: node.name };
      }
      case 'restart': {
        const node = random.pick(world.nodes.filter((one) => !one.isAlive() && !one.isAbsent));
        return node === undefined ? null : { do: kind, node: node.name };
      }
      case 'join': {
        const node = random.pick(world.nodes.filter((one) => one.isAbsent));
        return node === undefined ? null : { do: kind, node: node.name };
      }
      case 'loseDisk':
      case 'leave': {
        const node = random.pick(
          world.nodes.filter((one) => one.isAlive() && (kind === 'leave' || world.mayLoseDisk(one))),
        );
        return node === undefined ? null : { do: kind, node: node.name };
      }
      case 'cut': {
        const [from, to] = [random.pick(world.nodes), random.pick(world.nodes)];
        if (from === undefined || to === undefined || from === to) return null;
        return { do: 'cut', from: from.name, to: to.name, isNoticed: random.chance(0.6) };
      }
      case 'heal': {
        const link = random.pick(world.network.partitionedLinks());
        return link === undefined ? null : { do: 'heal', from: link[0], to: link[1] };
      }
      case 'nextTimer':
        return world.clock.hasTimers() ? { do: 'nextTimer' } : { do: 'pass', ms: passLengthsMs[0] as number };
      case 'pass':
        return { do: 'pass', ms: random.pick(passLengthsMs) ?? 0 };
      default: {
        const node = this.runningNode();
        if (node === undefined) return null;
        return this.choiceOnNode(kind, node);
      }
    }
  };

  private readonly choiceOnNode = (
    kind: 'crash' | 'order' | 'resend' | 'read' | 'upkeep' | 'settleRival' | 'dutyTick',
    node: string,
  ): Choice => {
    switch (kind) {
      case 'crash':
        return { do: kind, node, keptShare: this.random.pick(crashKeptShares) ?? 0 };
      case 'order':
      case 'resend':
      case 'read':
        return { do: kind, node, operator: Math.floor(this.random.fraction() * this.world.operators.length) };
      default:
        return { do: kind, node };
    }
  };
}
