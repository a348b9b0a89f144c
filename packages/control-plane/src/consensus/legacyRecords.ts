/**
 * Converts records that releases up to peer protocol 3 wrote to disk under other field names. Values in the current form
 * are returned unchanged. Nothing is written in the legacy form.
 */
import type { Change, ChangeBody, ClaimState, CommittedState } from '@martenworks/core-types';

type StoredObject = Readonly<Record<string, unknown>>;
type FieldNames = Readonly<Record<string, string>>;

const routeFields: FieldNames = {
  pathStart: 'pathPrefix',
  horizonMs: 'timeoutMs',
  targetMs: 'latencyTargetMs',
  shots: 'maxAttempts',
  isOpen: 'isPublic',
  mayResume: 'isResumable',
  gapMs: 'maxEventGapMs',
};
const changeRecordFields: FieldNames = { generation: 'logIndex', edition: 'configVersion' };
const forgottenFields: FieldNames = { edition: 'configVersion', named: 'targetWeights' };
const stateFields: FieldNames = {
  generation: 'logIndex',
  layoutGeneration: 'configLogIndex',
  layout: 'config',
  ways: 'routing',
  named: 'targetWeights',
};

const isStoredObject = (value: unknown): value is StoredObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array);

const objectOrEmpty = (value: unknown): StoredObject => (isStoredObject(value) ? value : {});

const renameFields = (value: unknown, names: FieldNames): StoredObject =>
  Object.fromEntries(
    Object.entries(objectOrEmpty(value)).map(([key, item]) => [
      Object.hasOwn(names, key) ? (names[key] as string) : key,
      item,
    ]),
  );

const mapValues = (value: unknown, convert: (item: unknown) => unknown): StoredObject =>
  Object.fromEntries(Object.entries(objectOrEmpty(value)).map(([key, item]) => [key, convert(item)]));

const upgradeRoutingTable = (table: unknown): unknown => {
  if (!isStoredObject(table) || !Array.isArray(table.ways)) return table;
  const { ways, ...rest } = table;
  return { routes: ways.map((way) => renameFields(way, routeFields)), ...rest };
};

const upgradeRouting = (routing: unknown): unknown => {
  if (!isStoredObject(routing) || !('edition' in routing)) return routing;
  const { edition, book, ...rest } = routing;
  return { configVersion: edition, table: upgradeRoutingTable(book), ...rest };
};

const upgradeBody = (body: StoredObject): unknown => {
  if (body.kind === 'layout') return { kind: 'config', config: body.layout, base: body.base };
  if (body.kind === 'ways') return { kind: 'routing', base: body.base, routing: upgradeRouting(body.ways) };
  return body;
};

/** Converts a change of any release to the current form. */
const upgradeChange = (stored: Change): Change => {
  const kind: string = stored.body.kind;
  const isLegacy = kind === 'layout' || kind === 'ways';
  return isLegacy ? { ...stored, body: upgradeBody(stored.body as unknown as StoredObject) as ChangeBody } : stored;
};

/** Converts a committed state of any release; fields that its release did not have stay absent. */
const upgradeState = (stored: CommittedState): CommittedState => {
  if (!('generation' in stored)) return stored;
  const { changeIds, forgotten, ...rest } = renameFields(stored, stateFields);
  return {
    ...rest,
    ...('routing' in rest ? { routing: upgradeRouting(rest.routing) } : {}),
    changeIds: mapValues(changeIds, (record) => renameFields(record, changeRecordFields)),
    ...(forgotten === undefined ? {} : { forgotten: renameFields(forgotten, forgottenFields) }),
  } as unknown as CommittedState;
};

/** Converts the state of a claim of any release. */
const upgradeClaim = (stored: ClaimState): ClaimState => {
  const { accepted } = stored;
  if (accepted === null || !('counter' in accepted.claimant)) return stored;
  const { counter, ...claimant } = accepted.claimant as unknown as StoredObject;
  return { ...stored, accepted: { ...accepted, claimant: { ...claimant, gateway: counter } } } as unknown as ClaimState;
};

/** Renames the fields of a log record to the current names; the changes and states inside it are not converted. */
const upgradeFields = <T>(record: T): T => {
  if (!isStoredObject(record)) return record;
  const isLegacy = 'generation' in record || 'settled' in record || 'vow' in record;
  if (!isLegacy) return record;
  const renamed = renameFields(record, { generation: 'logIndex', settled: 'committed', vow: 'foundingVote' });
  return (
    isStoredObject(renamed.committed) ? { ...renamed, committed: upgradeFields(renamed.committed) } : renamed
  ) as T;
};

/** Converts records of earlier releases to the current form. */
export const legacyRecords = { upgradeChange, upgradeState, upgradeClaim, upgradeFields };
