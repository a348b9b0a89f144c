/** Requests at a fixed interval with one API key, which injections start before they revoke the key. */
import { sampleWorkload } from '../workload/sampleDeployments.js';
import type { FaultContext } from './faultContext.js';

/** The parameters of the requests; the expected tenant may change while they are sent. */
export interface KeyTraffic {
  readonly key: string;
  tenant: string;
  readonly everyMs: number;
  readonly durationMs: number;
  readonly longShare: number;
}

/** Starts sending to random gateways and returns immediately. */
export const startKeyTraffic = ({ checker, world, random, randomInt }: FaultContext, traffic: KeyTraffic): void => {
  const stopAt = world.time + traffic.durationMs;
  const sendNext = (): void => {
    if (world.time >= stopAt) return;
    const { key, tenant, longShare, everyMs } = traffic;
    const request = { ...sampleWorkload.request(random, checker.calls.length, longShare), key, tenant };
    const gateways = checker.liveGateways();
    checker.send(request, gateways[randomInt(gateways.length)] as number);
    world.schedule(null, everyMs, sendNext);
  };
  sendNext();
};
