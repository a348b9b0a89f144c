/** Keys that are granted, revoked and granted again while requests are sent with them. */
import { sampleWorkload } from '../workload/sampleDeployments.js';
import type { FaultContext, Injections } from './faultContext.js';
import { startKeyTraffic } from './keyedTraffic.js';

const randomTenant = ({ randomInt }: FaultContext): string =>
  sampleWorkload.tenantNames[randomInt(sampleWorkload.tenantNames.length)] as string;

const grantAndRevoke = async (context: FaultContext, isNewTenant: boolean): Promise<void> => {
  const { operator, randomInt, random, world } = context;
  const tenant = isNewTenant ? `newcomer-${randomInt(1_000_000)}` : randomTenant(context);
  const key = `brief-${operator.lastChangeNumber()}-${randomInt(1_000_000)}`;
  const entry = isNewTenant
    ? { tier: 'steady', isolated: random() < 0.3, lanes: ['confirm', 'query', 'diagnose'] }
    : null;
  const grant = await operator.grant(key, tenant, entry);
  const traffic = { key, tenant, everyMs: 150, durationMs: 16_000, longShare: 0.3 };
  startKeyTraffic(context, traffic);
  await context.waitBetween(1_500, 4_000);
  if (isNewTenant && random() < 0.5) return;
  await operator.retryUntilAccepted((at) => operator.revokeAt(at, key));
  grant.validUntil = world.time;
  await context.waitBetween(500, 4_000);
  if (random() < 0.5) {
    traffic.tenant = randomTenant(context);
    await operator.grant(key, traffic.tenant, null, 'again-');
  }
  await context.wait(3_000);
};

/** Requests with a revoked key must soon stop running; a key granted again must only run for its new tenant. */
export const tenantChanges = {
  'key is revoked': (context) => grantAndRevoke(context, false),
  'new client with a new tenant': (context) => grantAndRevoke(context, true),
} satisfies Injections;
