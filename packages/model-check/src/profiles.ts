/** Profiles: how often each kind of step is drawn. Each profile except `mixed` emphasizes one part of the product. */
import type { ChoiceKind } from './choices.js';

type Weights = Readonly<Record<ChoiceKind, number>>;

/** Relative frequency of each kind of step, and the probabilities of scenarios and of faults after a vote. */
export interface Profile {
  readonly name: string;
  readonly weights: Weights;
  /** Probabilities that the receiver of a vote request, or of the reply, crashes or is partitioned right after the delivery. */
  readonly crashAfterVote: number;
  readonly cutAfterVote: number;
  /** Probability at each step that one of `scenarios` begins, if none is running. */
  readonly scenarioProbability: number;
  readonly scenarios: readonly ScenarioName[];
}

/** Name of a scenario: a sequence of planned steps that leads to a rare state. */
export type ScenarioName =
  | 'calm'
  | 'newcomer'
  | 'differing losses'
  | 'lease moves'
  | 'minority'
  | 'rivals'
  | 'lease across swap';

const defaultWeights: Weights = {
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
  weights: { ...defaultWeights, join: 0, leave: 0, loseDisk: 0, dutyTick: 0, upkeep: 1, order: 6, resend: 3 },
  crashAfterVote: 0.05,
  cutAfterVote: 0.03,
  scenarioProbability: 0.02,
  scenarios: ['calm', 'minority', 'rivals', 'rivals'],
};

const membership: Profile = {
  name: 'membership',
  weights: {
    ...defaultWeights,
    dutyTick: 0,
    loseDisk: 1.5,
    join: 2,
    leave: 0.6,
    upkeep: 8,
    pass: 2,
    order: 2,
    resend: 1,
  },
  crashAfterVote: 0.02,
  cutAfterVote: 0.02,
  scenarioProbability: 0.04,
  scenarios: ['calm', 'newcomer', 'newcomer', 'differing losses', 'differing losses'],
};

const leases: Profile = {
  name: 'leases',
  weights: {
    ...defaultWeights,
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
  scenarioProbability: 0.03,
  scenarios: ['calm', 'lease moves', 'lease moves', 'lease across swap'],
};

const mixed: Profile = {
  name: 'mixed',
  weights: defaultWeights,
  crashAfterVote: 0.03,
  cutAfterVote: 0.02,
  scenarioProbability: 0.02,
  scenarios: ['calm', 'newcomer', 'differing losses', 'lease moves', 'minority', 'rivals'],
};

/** All profiles; by default an exploration uses them in turn. */
export const profiles: readonly Profile[] = [ballots, membership, leases, mixed];
