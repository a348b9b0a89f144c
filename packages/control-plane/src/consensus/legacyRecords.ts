/**
 * Reads what releases up to peer protocol 3 wrote to disk under other field names. Every function returns a value that is
 * in today's form already as it is; nothing is written in the former form any more.
 */
import type { Change, ChangeBody, ClaimState, CommittedState } from '@martenworks/core-types';

type Table = Readonly<Record<string, unknown>>;
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

const isTable = (value: unknown): value is Table =>
  typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array);

const tableOr = (value: unknown): Table => (isTable(value) ? value : {});

const withFields = (value: unknown, names: FieldNames): Table =>
  Object.fromEntries(
    Object.entries(tableOr(value)).map(([key, held]) => [
      Object.hasOwn(names, key) ? (names[key] as string) : key,
      held,
    ]),
  );

const mapValues = (value: unknown, convert: (held: unknown) => unknown): Table =>
  Object.fromEntries(Object.entries(tableOr(value)).map(([key, held]) => [key, convert(held)]));

const routingTableFrom = (book: unknown): unknown => {
  if (!isTable(book) || !Array.isArray(book.ways)) return book;
  const { ways, ...rest } = book;
  return { routes: ways.map((way) => withFields(way, routeFields)), ...rest };
};

const routingFrom = (ways: unknown): unknown => {
  if (!isTable(ways) || !('edition' in ways)) return ways;
  const { edition, book, ...rest } = ways;
  return { configVersion: edition, table: routingTableFrom(book), ...rest };
};

const bodyFrom = (body: Table): unknown => {
  if (body.kind === 'layout') return { kind: 'config', config: body.layout, base: body.base };
  if (body.kind === 'ways') return { kind: 'routing', base: body.base, routing: routingFrom(body.ways) };
  return body;
};

/** A change of any release. */
const upgradeChange = (held: Change): Change => {
  const kind: string = held.body.kind;
  const isFormer = kind === 'layout' || kind === 'ways';
  return isFormer ? { ...held, body: bodyFrom(held.body as unknown as Table) as ChangeBody } : held;
};

/** An agreed state of any release; fields that its release did not know stay absent. */
const upgradeState = (held: CommittedState): CommittedState => {
  if (!('generation' in held)) return held;
  const { changeIds, forgotten, ...rest } = withFields(held, stateFields);
  return {
    ...rest,
    ...('routing' in rest ? { routing: routingFrom(rest.routing) } : {}),
    changeIds: mapValues(changeIds, (record) => withFields(record, changeRecordFields)),
    ...(forgotten === undefined ? {} : { forgotten: withFields(forgotten, forgottenFields) }),
  } as unknown as CommittedState;
};

/** A claim's state of any release. */
const upgradeClaim = (held: ClaimState): ClaimState => {
  const { accepted } = held;
  if (accepted === null || !('counter' in accepted.claimant)) return held;
  const { counter, ...claimant } = accepted.claimant as unknown as Table;
  return { ...held, accepted: { ...accepted, claimant: { ...claimant, gateway: counter } } } as unknown as ClaimState;
};

/** A log record with its fields as they are called today; changes and states inside it are not converted. */
const upgradeFields = <T>(record: T): T => {
  if (!isTable(record)) return record;
  const isFormer = 'generation' in record || 'settled' in record || 'vow' in record;
  if (!isFormer) return record;
  const named = withFields(record, { generation: 'logIndex', settled: 'committed', vow: 'foundingVote' });
  return (isTable(named.committed) ? { ...named, committed: upgradeFields(named.committed) } : named) as T;
};

/** Records of earlier releases, in today's form. */
export const legacyRecords = { upgradeChange, upgradeState, upgradeClaim, upgradeFields };
