/** Records applied changes, so that a change that is sent again is recognized, and prunes the oldest records. */
import type { Change, ChangeRecord, CommittedState, PrunedChanges } from './committedState.js';

const maxChangeRecords = 4096;

const recordOf = (state: CommittedState, { digest, body }: Change, logIndex: number): ChangeRecord => {
  const activeConfigVersion = state.routing?.configVersion ?? 0;
  const isRoutingChange =
    body.kind === 'routing' && body.base === activeConfigVersion && body.routing.configVersion > activeConfigVersion;
  return isRoutingChange ? { logIndex, digest, configVersion: body.routing.configVersion } : { logIndex, digest };
};

const oldestExcept = (records: CommittedState['changeIds'], activeConfigVersion: number): string | null => {
  let oldest: string | null = null;
  let logIndex = Infinity;
  for (const id of Object.keys(records)) {
    const record = records[id] as ChangeRecord;
    if (record.logIndex >= logIndex || record.configVersion === activeConfigVersion) continue;
    oldest = id;
    logIndex = record.logIndex;
  }
  return oldest;
};

/** Copies the records without one of them. A loop, since deleting from a large object slows every later copy of it. */
const without = (records: CommittedState['changeIds'], removedId: string): CommittedState['changeIds'] => {
  const remaining: Record<string, ChangeRecord> = {};
  for (const id of Object.keys(records)) if (id !== removedId) remaining[id] = records[id] as ChangeRecord;
  return remaining;
};

const weightsIdPattern = /^weights\/(.+)\/(\d+)$/;

const prune = (forgotten: PrunedChanges, id: string, { configVersion }: ChangeRecord): PrunedChanges => {
  if (configVersion !== undefined)
    return { ...forgotten, configVersion: Math.max(forgotten.configVersion, configVersion) };
  const [, model, version] = weightsIdPattern.exec(id) ?? [];
  if (model === undefined) return forgotten;
  const newest = Math.max(forgotten.targetWeights[model] ?? 0, Number(version));
  return { ...forgotten, targetWeights: { ...forgotten.targetWeights, [model]: newest } };
};

/**
 * Adds the record of an applied change and prunes the oldest beyond `maxChangeRecords`. The record of the active
 * configuration is never pruned, however many changes of other kinds follow it.
 */
const add = (
  state: CommittedState,
  change: Change,
  logIndex: number,
): Pick<CommittedState, 'changeIds' | 'forgotten'> => {
  const record = recordOf(state, change, logIndex);
  const activeConfigVersion = record.configVersion ?? state.routing?.configVersion ?? 0;
  let { changeIds, forgotten } = state;
  for (let excess = Object.keys(changeIds).length + 1 - maxChangeRecords; excess > 0; excess -= 1) {
    const oldest = oldestExcept(changeIds, activeConfigVersion);
    if (oldest === null) break;
    forgotten = prune(forgotten, oldest, changeIds[oldest] as ChangeRecord);
    changeIds = without(changeIds, oldest);
  }
  return { changeIds: { ...changeIds, [change.id]: record }, forgotten };
};

/** Adds records of applied changes to the committed state. */
export const changeRecords = { add };
