/**
 * The platform HTTP API of a gateway control node (docs/wire.md): replica announcements and departures, clients and
 * API keys.
 */
import { type } from 'arktype';
import type { ArkErrors } from 'arktype';
import { Hono } from 'hono';
import type { Context } from 'hono';
import { apiKeys } from '@martenworks/core-types';
import type { ReplicaRecord, Tenant } from '@martenworks/core-types';
import { gatewayConfigs } from '@martenworks/settings';
import type { ValidationIssue } from '@martenworks/settings';
import { readJsonBody, changeIdOf, changeResponse } from './operatorApi.js';
import type { GatewayControlNode } from '../nodes/gatewayControlNode.js';

const labelPattern = type(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/);
const addressPattern = type(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/);

const announcement = type({
  name: labelPattern,
  address: addressPattern,
  'pool?': labelPattern,
  'kind?': "'replica' | 'store'",
  'incarnation?': 'number.integer >= 1',
  'state?': "'ready' | 'leaving' | 'gone'",
  'zone?': labelPattern,
  'slots?': type('1 <= number.integer <= 4096 | null'),
});

const client = type({
  tenant: labelPattern,
  'key?': 'string >= 8',
  'keyHash?': type(/^[0-9a-f]{64}$/),
  'grant?': 'object',
});

const keyRef = type({ 'key?': 'string >= 8', 'keyHash?': type(/^[0-9a-f]{64}$/) });

const recordOf = (
  announced: typeof announcement.infer,
  known: ReplicaRecord | undefined,
  logIndex: number,
): ReplicaRecord => {
  const hasReturned = known?.state === 'gone' || (known?.state === 'leaving' && announced.state === 'ready');
  const isSameIncarnation =
    known !== undefined &&
    known.address === announced.address &&
    known.pool === (announced.pool ?? known.pool) &&
    !hasReturned;
  return {
    name: announced.name,
    kind: announced.kind ?? 'replica',
    incarnation:
      announced.incarnation ??
      (known === undefined ? 1 : isSameIncarnation ? known.incarnation : known.incarnation + 1),
    state: announced.state ?? 'ready',
    pool: announced.pool ?? known?.pool ?? 'default',
    address: announced.address,
    zone: announced.zone ?? '',
    slots: announced.slots ?? null,
    born: logIndex,
    sides: [],
  };
};

const noMajorityResponse = (c: Context): Response =>
  c.json({ outcome: 'not accepted', detail: 'no majority of control nodes can be reached' }, 503, {
    'retry-after': '1',
  });

const announceRecords = async (
  c: Context,
  controlNode: GatewayControlNode,
  records: readonly ReplicaRecord[],
): Promise<Response> => {
  const outcome = await controlNode.replicaRegistry.announce(records);
  if (outcome.isOk())
    return c.json({
      outcome: 'accepted',
      replicas: records.map((record) => controlNode.replicaTable.find(record.name)),
    });
  return outcome.error.code === 'disk'
    ? c.json({ outcome: 'not accepted', detail: 'the record could not be written to disk' }, 503, {
        'retry-after': '1',
      })
    : c.json(
        { outcome: 'unknown', detail: 'no majority of control nodes has confirmed the record yet; send it again' },
        504,
        {
          'retry-after': '1',
        },
      );
};

const badRequest = (c: Context, detail: string): Response => c.json({ outcome: 'rejected', detail }, 400);

const invalidResponse = (c: Context, errors: ArkErrors): Response => {
  const complaints = errors.map((error) => ({ path: `/${error.path.join('/')}`, message: error.message }));
  return c.json({ outcome: 'rejected', complaints }, 422);
};

const missingKey = (c: Context): Response =>
  c.json({ outcome: 'rejected', complaints: [{ path: '/key', message: 'key or keyHash is required' }] }, 422);

const keyHashOf = (ref: typeof keyRef.infer): string | undefined =>
  ref.keyHash ?? (ref.key === undefined ? undefined : apiKeys.hash(ref.key));

/** Returns an issue for each replica announced in another pool than the one its current incarnation serves. */
const poolChangeIssues = (
  controlNode: GatewayControlNode,
  announcements: readonly (typeof announcement.infer)[],
): ValidationIssue[] =>
  announcements.flatMap(({ name, incarnation, pool }, at) => {
    const known = controlNode.replicaTable.find(name);
    const changesPool =
      known !== undefined && known.incarnation === incarnation && pool !== undefined && pool !== known.pool;
    if (!changesPool) return [];
    const message = `this incarnation serves pool ${known.pool}; another pool requires a new incarnation`;
    return [{ path: `/${at}/pool`, message }];
  });

const addReplicaRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  app.get('/platform/replicas', (c) => c.json({ replicas: controlNode.replicaTable.records() }));

  app.post('/platform/replicas', async (c) => {
    const body = await readJsonBody(c);
    if (!body.isJson) return badRequest(c, 'the body is not JSON');
    const checked = announcement.array()(Array.isArray(body.value) ? body.value : [body.value]);
    if (checked instanceof type.errors) return invalidResponse(c, checked);
    if (!(await controlNode.replicaRegistry.fetchFromMajority(checked.map((one) => one.name))))
      return noMajorityResponse(c);
    const issues = poolChangeIssues(controlNode, checked);
    if (issues.length > 0) return c.json({ outcome: 'rejected', complaints: issues }, 422);
    return announceRecords(
      c,
      controlNode,
      checked.map((one) =>
        recordOf(one, controlNode.replicaTable.find(one.name), controlNode.acceptor.committedState()?.logIndex ?? 0),
      ),
    );
  });
};

const addDepartureRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  const changeState = async (c: Context, state: 'leaving' | 'gone'): Promise<Response> => {
    const name = c.req.param('name') ?? '';
    if (!(await controlNode.replicaRegistry.fetchFromMajority([name]))) return noMajorityResponse(c);
    const known = controlNode.replicaTable.find(name);
    if (known === undefined) return c.json({ outcome: 'rejected', detail: 'no such replica' }, 404);
    return announceRecords(c, controlNode, [{ ...known, state }]);
  };
  app.post('/platform/replicas/:name/leaving', (c) => changeState(c, 'leaving'));
  app.delete('/platform/replicas/:name', (c) => changeState(c, 'gone'));
};

const addClientRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  app.post('/platform/clients', async (c) => {
    const body = await readJsonBody(c);
    if (!body.isJson) return badRequest(c, 'the body is not JSON');
    const checked = client(body.value);
    if (checked instanceof type.errors) return invalidResponse(c, checked);
    const keyHash = keyHashOf(checked);
    if (keyHash === undefined) return missingKey(c);
    let tenant: Tenant | null = null;
    if (checked.grant !== undefined) {
      const parsed = gatewayConfigs.tenant(checked.grant);
      if (parsed.isErr()) return c.json({ outcome: 'rejected', complaints: parsed.error }, 422);
      tenant = parsed.value;
    }
    const changeId = changeIdOf(c, controlNode);
    return changeResponse(
      c,
      changeId,
      await controlNode.changeService.grant(changeId, keyHash, { tenant: checked.tenant }, tenant),
    );
  });
};

const addRevocationRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  app.post('/platform/keys/revoke', async (c) => {
    const body = await readJsonBody(c);
    if (!body.isJson) return badRequest(c, 'the body is not JSON');
    const checked = keyRef(body.value);
    if (checked instanceof type.errors) return c.json({ outcome: 'rejected', detail: checked.summary }, 422);
    const keyHash = keyHashOf(checked);
    if (keyHash === undefined) return missingKey(c);
    const changeId = changeIdOf(c, controlNode);
    return changeResponse(c, changeId, await controlNode.changeService.revoke(changeId, keyHash));
  });
};

/**
 * Returns the routes of one node. An announcement is acknowledged once a majority of control nodes has it on disk.
 */
export const replicaApi = (controlNode: GatewayControlNode): Hono => {
  const app = new Hono();
  addReplicaRoutes(app, controlNode);
  addDepartureRoutes(app, controlNode);
  addClientRoutes(app, controlNode);
  addRevocationRoutes(app, controlNode);
  return app;
};
