/**
 * The platform's HTTP interface of a gateway control node (docs/wire.md): replicas that come and go, clients and their
 * keys.
 */
import { type } from 'arktype';
import type { ArkErrors } from 'arktype';
import { Hono } from 'hono';
import type { Context } from 'hono';
import { apiKeys } from '@martenworks/core-types';
import type { ReplicaRecord, Tenant } from '@martenworks/core-types';
import { gatewayConfigs } from '@martenworks/settings';
import type { ValidationIssue } from '@martenworks/settings';
import { bodyOf, changeIdOf, replyTo } from './operatorApi.js';
import type { GatewayControlNode } from '../nodes/gatewayControlNode.js';

const label = type(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/);
const address = type(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/);

const announcement = type({
  name: label,
  address,
  'pool?': label,
  'kind?': "'replica' | 'store'",
  'incarnation?': 'number.integer >= 1',
  'state?': "'ready' | 'leaving' | 'gone'",
  'zone?': label,
  'slots?': type('1 <= number.integer <= 4096 | null'),
});

const client = type({
  tenant: label,
  'key?': 'string >= 8',
  'keyHash?': type(/^[0-9a-f]{64}$/),
  'grant?': 'object',
});

const keyRef = type({ 'key?': 'string >= 8', 'keyHash?': type(/^[0-9a-f]{64}$/) });

const recordOf = (
  given: typeof announcement.infer,
  held: ReplicaRecord | undefined,
  logIndex: number,
): ReplicaRecord => {
  const isBack = held?.state === 'gone' || (held?.state === 'leaving' && given.state === 'ready');
  const isSame =
    held !== undefined && held.address === given.address && held.pool === (given.pool ?? held.pool) && !isBack;
  return {
    name: given.name,
    kind: given.kind ?? 'replica',
    incarnation: given.incarnation ?? (held === undefined ? 1 : isSame ? held.incarnation : held.incarnation + 1),
    state: given.state ?? 'ready',
    pool: given.pool ?? held?.pool ?? 'default',
    address: given.address,
    zone: given.zone ?? '',
    slots: given.slots ?? null,
    born: logIndex,
    sides: [],
  };
};

const unheard = (c: Context): Response =>
  c.json({ outcome: 'not accepted', detail: 'no majority of control nodes can be reached' }, 503, {
    'retry-after': '1',
  });

const announced = async (
  c: Context,
  controlNode: GatewayControlNode,
  records: readonly ReplicaRecord[],
): Promise<Response> => {
  const outcome = await controlNode.replicas.announce(records);
  if (outcome.isOk())
    return c.json({ outcome: 'accepted', replicas: records.map((record) => controlNode.table.find(record.name)) });
  return outcome.error.code === 'disk'
    ? c.json({ outcome: 'not accepted', detail: 'the disk did not take it' }, 503, { 'retry-after': '1' })
    : c.json({ outcome: 'unknown', detail: 'no majority of control nodes has confirmed it yet; send it again' }, 504, {
        'retry-after': '1',
      });
};

const badRequest = (c: Context, detail: string): Response => c.json({ outcome: 'rejected', detail }, 400);

const invalid = (c: Context, errors: ArkErrors): Response => {
  const complaints = errors.map((error) => ({ path: `/${error.path.join('/')}`, message: error.message }));
  return c.json({ outcome: 'rejected', complaints }, 422);
};

const missingKey = (c: Context): Response =>
  c.json({ outcome: 'rejected', complaints: [{ path: '/key', message: 'key or keyHash must be given' }] }, 422);

const keyHashOf = (given: typeof keyRef.infer): string | undefined =>
  given.keyHash ?? (given.key === undefined ? undefined : apiKeys.hash(given.key));

/** Complaints about replicas that are announced in another pool under an incarnation that already serves one. */
const movedReplicas = (
  controlNode: GatewayControlNode,
  announcements: readonly (typeof announcement.infer)[],
): ValidationIssue[] =>
  announcements.flatMap(({ name, incarnation, pool }, at) => {
    const known = controlNode.table.find(name);
    const isMoved =
      known !== undefined && known.incarnation === incarnation && pool !== undefined && pool !== known.pool;
    if (!isMoved) return [];
    const message = `this incarnation serves pool ${known.pool}; in another pool it must be a new one`;
    return [{ path: `/${at}/pool`, message }];
  });

const addReplicaRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  app.get('/platform/replicas', (c) => c.json({ replicas: controlNode.table.records() }));

  app.post('/platform/replicas', async (c) => {
    const body = await bodyOf(c);
    if (!body.isJson) return badRequest(c, 'the body is not JSON');
    const checked = announcement.array()(Array.isArray(body.value) ? body.value : [body.value]);
    if (checked instanceof type.errors) return invalid(c, checked);
    if (!(await controlNode.replicas.learn(checked.map((one) => one.name)))) return unheard(c);
    const moved = movedReplicas(controlNode, checked);
    if (moved.length > 0) return c.json({ outcome: 'rejected', complaints: moved }, 422);
    return announced(
      c,
      controlNode,
      checked.map((one) =>
        recordOf(one, controlNode.table.find(one.name), controlNode.acceptor.agreed()?.logIndex ?? 0),
      ),
    );
  });
};

const addDepartureRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  const moved = async (c: Context, state: 'leaving' | 'gone'): Promise<Response> => {
    const name = c.req.param('name') ?? '';
    if (!(await controlNode.replicas.learn([name]))) return unheard(c);
    const held = controlNode.table.find(name);
    if (held === undefined) return c.json({ outcome: 'rejected', detail: 'no such replica' }, 404);
    return announced(c, controlNode, [{ ...held, state }]);
  };
  app.post('/platform/replicas/:name/leaving', (c) => moved(c, 'leaving'));
  app.delete('/platform/replicas/:name', (c) => moved(c, 'gone'));
};

const addClientRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  app.post('/platform/clients', async (c) => {
    const body = await bodyOf(c);
    if (!body.isJson) return badRequest(c, 'the body is not JSON');
    const checked = client(body.value);
    if (checked instanceof type.errors) return invalid(c, checked);
    const keyHash = keyHashOf(checked);
    if (keyHash === undefined) return missingKey(c);
    let tenant: Tenant | null = null;
    if (checked.grant !== undefined) {
      const shaped = gatewayConfigs.tenant(checked.grant);
      if (shaped.isErr()) return c.json({ outcome: 'rejected', complaints: shaped.error }, 422);
      tenant = shaped.value;
    }
    const changeId = changeIdOf(c, controlNode);
    return replyTo(c, changeId, await controlNode.changes.grant(changeId, keyHash, { tenant: checked.tenant }, tenant));
  });
};

const addRevocationRoutes = (app: Hono, controlNode: GatewayControlNode): void => {
  app.post('/platform/keys/revoke', async (c) => {
    const body = await bodyOf(c);
    if (!body.isJson) return badRequest(c, 'the body is not JSON');
    const checked = keyRef(body.value);
    if (checked instanceof type.errors) return c.json({ outcome: 'rejected', detail: checked.summary }, 422);
    const keyHash = keyHashOf(checked);
    if (keyHash === undefined) return missingKey(c);
    const changeId = changeIdOf(c, controlNode);
    return replyTo(c, changeId, await controlNode.changes.revoke(changeId, keyHash));
  });
};

/** The routes of one node. An announcement is acknowledged once a majority of the control nodes has it on disk. */
export const replicaApi = (controlNode: GatewayControlNode): Hono => {
  const app = new Hono();
  addReplicaRoutes(app, controlNode);
  addDepartureRoutes(app, controlNode);
  addClientRoutes(app, controlNode);
  addRevocationRoutes(app, controlNode);
  return app;
};
