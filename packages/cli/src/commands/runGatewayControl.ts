/** The command `gateway-control`: runs a gateway control node until a signal stops it. */
import { controlApp, gatewayControlNodes } from '@martenworks/control-plane';
import type { Log } from '@martenworks/core-types';
import { MemoryBudget, processLimits } from '@martenworks/server-limits';
import type { GatewaySettings } from '@martenworks/settings';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { boundedHttpServers } from '../httpServer.js';
import { portsFor } from '../ports.js';
import { shutdownSignal } from '../shutdownSignal.js';
import { watchProcessMetrics } from '../processMetrics.js';

/** Resolves with the exit code once the node has stopped, or failed to start. */
export const runGatewayControl = async (settings: GatewaySettings, log: Log): Promise<ExitCode> => {
  const stopSignal = shutdownSignal();
  const started = await gatewayControlNodes.start(settings, portsFor(settings, log));
  if (started.isErr()) {
    log.error('gateway control node failed to start', { fault: started.error });
    return exitCodes.failed;
  }
  const controlNode = started.value;
  const limits = processLimits.of(settings);
  const app = controlApp(controlNode, new MemoryBudget(limits.bufferBytes), watchProcessMetrics());
  const listener = await boundedHttpServers.forOperators(limits).open(settings.http, app.fetch);
  if (listener.isErr()) {
    log.error('HTTP listen failed', { address: settings.http, fault: listener.error });
    return exitCodes.failed;
  }
  log.info('gateway control node started', {
    peerAddress: settings.peerAddress,
    http: settings.http,
    zone: settings.zone,
    incarnation: controlNode.acceptor.incarnation,
  });
  log.info('closing', { signal: await stopSignal });
  await listener.value.close();
  await controlNode.stop();
  return exitCodes.success;
};
