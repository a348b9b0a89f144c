import { sampleWorkload } from '../workload/sampleDeployments.js';
import type { FaultContext, Injections } from './faultContext.js';

export const tenantChanges = (context: FaultContext) => {
  const { fleet, checker, world } = context;

  const grantAndRevoke = async (isNew: boolean): Promise<void> => {
    const tenant = isNew
      ? `newcomer-${context.pick(1_000_000)}`
      : (sampleWorkload.tenantNames[context.pick(sampleWorkload.tenantNames.length)] as string);
    const key = `brief-${context.state.changes}-${context.pick(1_000_000)}`;
    const grant = await context.grant(
      key,
      tenant,
      isNew ? { tier: 'steady', isolated: context.random() < 0.3, lanes: ['confirm', 'query', 'diagnose'] } : null,
    );
    const stopAt = world.time + 16_000;
    let holder = tenant;
    const sendNext = (): void => {
      if (world.time >= stopAt) return;
      checker.send(
        { ...sampleWorkload.request(context.random, checker.calls.length, 0.3), key, tenant: holder },
        checker.liveGateways()[context.pick(checker.liveGateways().length)] as number,
      );
      world.schedule(null, 150, sendNext);
    };
    sendNext();
    await context.wait(context.randomBetween(1_500, 4_000));
    if (isNew && context.random() < 0.5) return;
    await context.retryUntilAccepted((one) =>
      fleet.onPostmaster(one, 'POST', '/platform/keys/revoke', { key }, { 'change-id': `revoke-${key}` }),
    );
    grant.to = world.time;
    await context.wait(context.randomBetween(500, 4_000));
    if (context.random() < 0.5) {
      holder = sampleWorkload.tenantNames[context.pick(sampleWorkload.tenantNames.length)] as string;
      await context.grant(key, holder, null, 'again-');
    }
    await context.wait(3_000);
  };

  return {
    'key is revoked': () => grantAndRevoke(false),
    'new client with a new tenant': () => grantAndRevoke(true),
  } satisfies Injections;
};
