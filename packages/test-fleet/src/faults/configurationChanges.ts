/** Configuration changes: simple, conflicting, large, of weights, and with probes at every gateway. */
import { maxPropagationMs } from '../invariants/observations.js';
import { sampleWorkload } from '../workload/sampleDeployments.js';
import type { FaultContext, Injections } from './faultContext.js';
import type { ConfigurationBase } from './operatorClient.js';

const probeClaim = 'prober';
const conflictingChangeCount = 3;
const probeRounds = 2;
const manyLanesCount = 200;

const changeTier = async ({ operator, randomInt }: FaultContext): Promise<void> => {
  const base = await operator.readConfiguration();
  await operator.change({ tiers: { prompt: { rank: 0, horizonMs: 8_000 + randomInt(4_000) } } }, base);
};

/**
 * Sends conflicting changes with the same base version, each to a different control node; at most one may be accepted.
 */
const sendConflictingChanges = async ({ checker, operator, state, wait }: FaultContext): Promise<void> => {
  const { base } = await operator.readConfiguration();
  const names = Array.from({ length: conflictingChangeCount }, () => `rival-${++state.probeCount}`);
  const isAccepted = await Promise.all(
    names.map((name, at) => {
      const tiers = { steady: { rank: 1, horizonMs: 20_000 + at } };
      return operator.change({ tiers, ...checker.probeChange(name, 'patient', 'freely') }, { at, base });
    }),
  );
  if (isAccepted.filter(Boolean).length > 1)
    checker.acceptedChanges.set('several conflicting changes were accepted', -1);
  state.lastProbedLane = names.find((_, at) => isAccepted[at]) ?? state.lastProbedLane;
  await wait(maxPropagationMs);
  names.forEach((name, at) => {
    checker.probeEveryGateway(name, `rival ${name}`, isAccepted[at] === true, 'patient', 'freely');
  });
};

const sendInvalidChange = async (
  { checker, operator }: FaultContext,
  lane: string,
  repeat: 'once' | 'freely',
  base: ConfigurationBase,
): Promise<void> => {
  const isAccepted = await operator.change(checker.probeChange(lane, 'absent', repeat), base);
  if (isAccepted) checker.rejectedChangeIds.add('an invalid change was accepted');
};

/**
 * Probes the lane of an accepted change, the lane of an invalid change, and the lane that the accepted change replaced.
 */
const probeChanges = async (context: FaultContext): Promise<void> => {
  const { checker, operator, state } = context;
  const base = await operator.readConfiguration();
  const name = `probe-${++state.probeCount}`;
  const invalidName = `${name}-faulty`;
  const replacedLane = state.lastProbedLane;
  const tier = Object.keys(sampleWorkload.tiers)[context.randomInt(3)] as string;
  const repeat = context.random() < 0.5 ? 'once' : 'freely';
  await sendInvalidChange(context, invalidName, repeat, base);
  const isAccepted = await operator.change(checker.probeChange(name, tier, repeat), base);
  if (isAccepted) state.lastProbedLane = name;
  for (let round = 0; round < probeRounds; round += 1) {
    await context.wait(maxPropagationMs);
    checker.probeEveryGateway(name, `probe ${name}`, isAccepted, tier, repeat);
    checker.probeEveryGateway(invalidName, 'an invalid change', false, tier, repeat);
    if (isAccepted && replacedLane.startsWith('probe-'))
      checker.probeEveryGateway(replacedLane, `probe ${name} replaced ${replacedLane}`, false, tier, repeat);
  }
};

const addManyLanes = async ({ operator, randomInt }: FaultContext): Promise<void> => {
  const base = await operator.readConfiguration();
  const from = randomInt(100_000);
  const lanes = Array.from({ length: manyLanesCount }, (_, index) => [
    `extra-${from}-${index}`,
    { pool: 'main', repeat: 'freely' },
  ]);
  await operator.change({ lanes: Object.fromEntries(lanes) }, base);
};

const changeWeights = async ({ checker, operator, state, world }: FaultContext): Promise<void> => {
  const base = await operator.readConfiguration();
  const weights = `weights-${++state.weightsCount}`;
  const weightsChange = { sentAt: world.time, acknowledgedAt: Number.POSITIVE_INFINITY, pool: 'main', weights };
  checker.weightsChanges.push(weightsChange);
  const isAccepted = await operator.change({ pools: { main: { weights } } }, base);
  if (isAccepted) weightsChange.acknowledgedAt = world.time;
  else checker.weightsChanges.splice(checker.weightsChanges.indexOf(weightsChange), 1);
};

/** Accepted changes must take effect in time, and rejected ones never. */
export const configurationChanges = {
  'layout changes': changeTier,
  'rival changes': (context) => context.withClaim(probeClaim, () => sendConflictingChanges(context)),
  'layout is probed': (context) => context.withClaim(probeClaim, () => probeChanges(context)),
  'many lanes': addManyLanes,
  'new weights': (context) => context.withClaim('weights', () => changeWeights(context)),
} satisfies Injections;
