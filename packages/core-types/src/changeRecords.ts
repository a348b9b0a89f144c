/** The records of changes that were taken, so that a change sent again is known; the oldest are dropped. */
import type { Change, ChangeRecord, CommittedState, PrunedChanges } from './committedState.js';

const keptChangeIds = 4096;

const recordOf = (agreed: CommittedState, { digest, body }: Change, logIndex: number): ChangeRecord => {
  const inForce = agreed.routing?.configVersion ?? 0;
  const isRoutingChange = body.kind === 'routing' && body.base === inForce && body.routing.configVersion > inForce;
  return isRoutingChange ? { logIndex, digest, configVersion: body.routing.configVersion } : { logIndex, digest };
};

const oldestBeside = (records: CommittedState['changeIds'], keptConfigVersion: number): string | null => {
  let oldest: string | null = null;
  let logIndex = Infinity;
  for (const id of Object.keys(records)) {
    const record = records[id] as ChangeRecord;
    if (record.logIndex >= logIndex || record.configVersion === keptConfigVersion) continue;
    oldest = id;
    logIndex = record.logIndex;
  }
  return oldest;
};

/** A copy; a loop, as deleting from a large object makes every later copy of it slow. */
const without = (records: CommittedState['changeIds'], dropped: string): CommittedState['changeIds'] => {
  const kept: Record<string, ChangeRecord> = {};
  for (const id of Object.keys(records)) if (id !== dropped) kept[id] = records[id] as ChangeRecord;
  return kept;
};

const weightsId = /^weights\/(.+)\/(\d+)$/;

const forget = (forgotten: PrunedChanges, id: string, { configVersion }: ChangeRecord): PrunedChanges => {
  if (configVersion !== undefined)
    return { ...forgotten, configVersion: Math.max(forgotten.configVersion, configVersion) };
  const [, model, version] = weightsId.exec(id) ?? [];
  if (model === undefined) return forgotten;
  const newest = Math.max(forgotten.targetWeights[model] ?? 0, Number(version));
  return { ...forgotten, targetWeights: { ...forgotten.targetWeights, [model]: newest } };
};

/**
 * Keeps the records of the last `keptChangeIds` changes, and by rule that of the configuration in force, however many
 * changes of other kinds followed it.
 */
const remember = (
  agreed: CommittedState,
  change: Change,
  logIndex: number,
): Pick<CommittedState, 'changeIds' | 'forgotten'> => {
  const record = recordOf(agreed, change, logIndex);
  const keptConfigVersion = record.configVersion ?? agreed.routing?.configVersion ?? 0;
  let { changeIds, forgotten } = agreed;
  for (let excess = Object.keys(changeIds).length + 1 - keptChangeIds; excess > 0; excess -= 1) {
    const oldest = oldestBeside(changeIds, keptConfigVersion);
    if (oldest === null) break;
    forgotten = forget(forgotten, oldest, changeIds[oldest] as ChangeRecord);
    changeIds = without(changeIds, oldest);
  }
  return { changeIds: { ...changeIds, [change.id]: record }, forgotten };
};

/** Adds the record of a change that was applied. */
export const changeRecords = { remember };
