import { plans } from '../workload/sampleDeployments.js';
import type { FaultContext, Injections } from './faultContext.js';

export const clients = (storm: FaultContext) => {
  const { fleet, judge, world } = storm;

  const grantAndRevoke = async (isNew: boolean): Promise<void> => {
    const tenant = isNew
      ? `newcomer-${storm.pick(1_000_000)}`
      : (plans.tenantNames[storm.pick(plans.tenantNames.length)] as string);
    const key = `brief-${storm.state.changes}-${storm.pick(1_000_000)}`;
    const grant = await storm.grant(
      key,
      tenant,
      isNew ? { tier: 'steady', isolated: storm.random() < 0.3, lanes: ['confirm', 'query', 'diagnose'] } : null,
    );
    const stopAt = world.time + 16_000;
    let holder = tenant;
    const ask = (): void => {
      if (world.time >= stopAt) return;
      judge.send(
        { ...plans.ask(storm.random, judge.calls.length, 0.3), key, tenant: holder },
        judge.living()[storm.pick(judge.living().length)] as number,
      );
      world.plan(null, 150, ask);
    };
    ask();
    await storm.wait(storm.span(1_500, 4_000));
    if (isNew && storm.random() < 0.5) return;
    await storm.tellUntilTaken((one) =>
      fleet.onPostmaster(one, 'POST', '/platform/keys/revoke', { key }, { 'change-id': `revoke-${key}` }),
    );
    grant.to = world.time;
    await storm.wait(storm.span(500, 4_000));
    if (storm.random() < 0.5) {
      holder = plans.tenantNames[storm.pick(plans.tenantNames.length)] as string;
      await storm.grant(key, holder, null, 'again-');
    }
    await storm.wait(3_000);
  };

  return {
    'key is revoked': () => grantAndRevoke(false),
    'new client with a new tenant': () => grantAndRevoke(true),
  } satisfies Injections;
};
