/** The whole HTTP API of a gateway control node, with bounds on the bodies that it reads. */
import { Hono } from 'hono';
import type { Context } from 'hono';
import { boundedBodies, jsonCost } from '@martenworks/server-limits';
import type { MemoryBudget, BodyReadError } from '@martenworks/server-limits';
import type { GatewayControlNode } from '../nodes/gatewayControlNode.js';
import { operatorApi } from './operatorApi.js';
import { replicaApi } from './replicaApi.js';

const bodyLimitBytes = 64 * 1024 * 1024;

const rejectBody = (c: Context, error: BodyReadError): Response =>
  error.code === 'BODY_TOO_LARGE'
    ? c.json({ outcome: 'rejected', detail: 'the body is too large' }, 413)
    : c.json({ outcome: 'not accepted', detail: 'the node has no room for the body' }, 503, { 'retry-after': '1' });

/** Returns the routes for operators and the platform. Bodies are counted in `budget`; `extraMetrics`: see `operatorApi`. */
export const controlApp = (
  controlNode: GatewayControlNode,
  budget: MemoryBudget,
  extraMetrics: () => string[],
): Hono => {
  const app = new Hono();
  app.use(boundedBodies({ budget, limitBytes: bodyLimitBytes, handlingBytes: jsonCost.of, reject: rejectBody }));
  return app.route('/', operatorApi(controlNode, extraMetrics)).route('/', replicaApi(controlNode));
};
