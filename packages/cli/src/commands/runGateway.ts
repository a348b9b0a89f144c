/** The command `gateway`: runs a gateway until a signal stops it. */
import { callerApi, gateways, operatorPages } from '@martenworks/gateway';
import type { Gateway } from '@martenworks/gateway';
import type { HttpServer, Listener, Log, WebHandler } from '@martenworks/core-types';
import { MemoryBudget, processLimits } from '@martenworks/server-limits';
import type { GatewaySettings } from '@martenworks/settings';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { boundedHttpServers } from '../httpServer.js';
import { portsFor } from '../ports.js';
import { shutdownSignal } from '../shutdownSignal.js';
import { watchProcessMetrics } from '../processMetrics.js';

interface Endpoint {
  readonly address: string;
  readonly handler: WebHandler;
  readonly server: HttpServer;
}

const endpointsOf = (gateway: Gateway): Endpoint[] => {
  const { http, operators } = gateway.settings;
  const limits = processLimits.of(gateway.settings);
  const forCallers = {
    address: http,
    handler: callerApi(gateway, new MemoryBudget(limits.bufferBytes)).fetch,
    server: boundedHttpServers.forCallers(limits),
  };
  if (operators === null) return [forCallers];
  const forOperators = {
    address: operators,
    handler: operatorPages(gateway, watchProcessMetrics()).fetch,
    server: boundedHttpServers.forOperators(limits),
  };
  return [forCallers, forOperators];
};

/** Opens the endpoints one after another; null if one could not be opened. */
const listenOn = async (endpoints: readonly Endpoint[], log: Log): Promise<Listener[] | null> => {
  const listeners: Listener[] = [];
  for (const { address, handler, server } of endpoints) {
    const opened = await server.open(address, handler);
    if (opened.isErr()) {
      log.error('HTTP listen failed', { address, fault: opened.error });
      return null;
    }
    listeners.push(opened.value);
  }
  return listeners;
};

/** Resolves with the exit code once the gateway has drained and stopped, or failed to start. */
export const runGateway = async (settings: GatewaySettings, log: Log): Promise<ExitCode> => {
  const stopSignal = shutdownSignal();
  const started = await gateways.start(settings, portsFor(settings, log));
  if (started.isErr()) {
    log.error('gateway failed to start', { fault: started.error });
    return exitCodes.failed;
  }
  const gateway = started.value;
  const listeners = await listenOn(endpointsOf(gateway), log);
  if (listeners === null) return exitCodes.failed;
  log.info('gateway started', {
    peerAddress: settings.peerAddress,
    http: settings.http,
    operators: settings.operators,
    zone: settings.zone,
    incarnation: gateway.incarnation,
  });
  log.info('draining', { signal: await stopSignal, live: gateway.stages.live.size });
  await gateway.drain();
  await gateway.stop();
  await Promise.all(listeners.map((listener) => listener.close()));
  log.info('closed');
  return exitCodes.success;
};
