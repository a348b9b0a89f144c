/** Scenarios: short sequences of steps that lead to states which random steps alone rarely reach. */
import type { Choice } from './choices.js';
import type { ScenarioName } from './profiles.js';
import type { SeededRandom } from './seededRandom.js';
import type { World } from './world.js';

/** A planned step: a choice, or `calm`, which delivers any message in flight or completes any pending sync. */
export type PlannedStep = Choice | 'calm';

const calmSteps = 30;
const calm: readonly PlannedStep[] = Array.from({ length: calmSteps }, () => 'calm');
const pastFailureTimeoutMs = 2_600;
const pastLeaseExpiryMs = 2_000;

/** Shares of the unsynced bytes that survive a crash. With 1 only the process ends; the machine keeps its power. */
export const crashKeptShares: readonly number[] = [0, 0.5, 1];

/** Plans the scenarios of a schedule. */
export class ScenarioPlanner {
  constructor(
    private readonly world: World,
    private readonly random: SeededRandom,
  ) {}

  /** The steps of a scenario, on nodes drawn at random. */
  readonly plan = (name: ScenarioName | undefined): PlannedStep[] => {
    switch (name) {
      case 'newcomer':
        return this.newcomer();
      case 'differing losses':
        return this.differingLosses();
      case 'lease moves':
        return this.leaseMoves();
      case 'minority':
        return this.minority();
      case 'lease across swap':
        return this.leaseAcrossSwap();
      case 'rivals':
        return this.rivals();
      default:
        return [...calm];
    }
  };

  private readonly shuffledLiveNodes = (): string[] => {
    const names = this.world.nodes.filter((node) => node.isAlive()).map((node) => node.name);
    for (let at = names.length - 1; at > 0; at -= 1) {
      const other = Math.floor(this.random.fraction() * (at + 1));
      [names[at], names[other]] = [names[other] as string, names[at] as string];
    }
    return names;
  };

  /** A spare machine joins and copies the state. */
  private readonly newcomer = (): PlannedStep[] => {
    const node = this.random.pick(this.world.nodes.filter((one) => one.isAbsent))?.name;
    if (node === undefined) return [...calm];
    return [{ do: 'join', node }, { do: 'upkeep', node }, ...calm, { do: 'upkeep', node }, ...calm];
  };

  /** Two members each lose contact with different members for long enough to replace them, then the link between the two heals. */
  private readonly differingLosses = (): PlannedStep[] => {
    const [first, second, third] = this.shuffledLiveNodes();
    if (first === undefined || second === undefined || third === undefined) return [...calm];
    const upkeep: PlannedStep[] = [
      { do: 'upkeep', node: first },
      { do: 'upkeep', node: second },
    ];
    const isThirdCut = this.random.chance(0.5);
    return [
      isThirdCut ? { do: 'cut', from: first, to: third, isNoticed: true } : { do: 'crash', node: third, keptShare: 1 },
      { do: 'cut', from: first, to: second, isNoticed: true },
      ...upkeep,
      ...calm,
      { do: 'pass', ms: pastFailureTimeoutMs },
      ...upkeep,
      ...calm.slice(0, Math.floor(this.random.fraction() * calmSteps)),
      { do: 'heal', from: first, to: second },
      ...calm,
      { do: 'nextTimer' },
      ...calm,
      { do: 'nextTimer' },
      ...calm,
    ];
  };

  /** A node acquires the lease, voters that granted it restart, the lease may expire, and other nodes request it. */
  private readonly leaseMoves = (): PlannedStep[] => {
    const [first, second, third] = this.shuffledLiveNodes();
    if (first === undefined || second === undefined || third === undefined) return [...calm];
    const requestLease = (node: string): PlannedStep[] => [{ do: 'dutyTick', node }, ...calm.slice(0, 12)];
    const restart = (node: string): PlannedStep[] => [
      { do: 'crash', node, keptShare: this.random.pick(crashKeptShares) ?? 0 },
      { do: 'restart', node },
    ];
    return [
      ...requestLease(first),
      ...requestLease(first),
      ...(this.random.chance(0.6) ? restart(second) : []),
      ...(this.random.chance(0.6) ? restart(third) : []),
      ...(this.random.chance(0.3) ? restart(first) : []),
      { do: 'pass', ms: this.random.chance(0.7) ? pastLeaseExpiryMs : 700 },
      ...requestLease(second),
      ...requestLease(third),
      ...requestLease(second),
      ...requestLease(third),
    ];
  };

  /** A member is partitioned while the others commit a change, then receives a read and a change request. */
  private readonly minority = (): PlannedStep[] => {
    const [first, second] = this.shuffledLiveNodes();
    if (first === undefined || second === undefined) return [...calm];
    const operator = this.random.chance(0.5) ? 0 : 1;
    const isNoticed = this.random.chance(0.5);
    const cuts = this.world.nodes
      .filter((node) => node.name !== first)
      .map((node): PlannedStep => ({ do: 'cut', from: first, to: node.name, isNoticed }));
    return [
      ...cuts,
      { do: 'order', node: second, operator },
      ...calm,
      { do: 'read', node: first, operator },
      { do: 'order', node: first, operator },
      ...calm.slice(0, 10),
    ];
  };

  /** A lease holder renews with one voter while another member, partitioned from it, replaces it as a voter and requests the lease. */
  private readonly leaseAcrossSwap = (): PlannedStep[] => {
    const [holder, other] = this.shuffledLiveNodes();
    if (holder === undefined || other === undefined) return [...calm];
    const renew: PlannedStep[] = [{ do: 'pass', ms: 700 }, { do: 'dutyTick', node: holder }, ...calm];
    return [
      ...this.newcomer(),
      { do: 'cut', from: holder, to: other, isNoticed: true },
      { do: 'upkeep', node: other },
      ...calm,
      ...renew,
      ...renew,
      ...renew,
      ...renew,
      { do: 'upkeep', node: other },
      ...calm,
      { do: 'dutyTick', node: other },
      { do: 'dutyTick', node: holder },
      ...calm,
      { do: 'dutyTick', node: other },
      ...calm,
    ];
  };

  /** Two members propose concurrently, and a third restarts between their ballots. */
  private readonly rivals = (): PlannedStep[] => {
    const [first, second, third] = this.shuffledLiveNodes();
    if (first === undefined || second === undefined || third === undefined) return [...calm];
    return [
      { do: 'order', node: first, operator: 0 },
      { do: 'order', node: second, operator: 1 },
      ...calm.slice(0, 5 + Math.floor(this.random.fraction() * 8)),
      { do: 'crash', node: third, keptShare: this.random.pick(crashKeptShares) ?? 0 },
      { do: 'restart', node: third },
      ...calm,
    ];
  };
}
