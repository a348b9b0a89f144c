/** The clock, network, disk and HTTP of the machine, for a gateway role. */
import { addresses, machine } from '@martenworks/core-types';
import type { Log, Ports } from '@martenworks/core-types';
import type { GatewaySettings } from '@martenworks/settings';
import { httpClients } from '@martenworks/upstream';
import { realHttpServer } from './httpServer.js';

/** Outgoing connections are bound to the configured addresses, so that several nodes can run on one host. */
export const portsFor = (settings: GatewaySettings, log: Log): Ports => {
  const { host } = addresses.split(settings.peerListenAddress);
  return {
    clock: machine.clock,
    random: machine.random,
    net: machine.net(host),
    httpServer: realHttpServer,
    httpClient: httpClients.real(addresses.split(settings.http).host),
    disk: settings.data === null ? machine.noDisk() : machine.disk(settings.data),
    log,
  };
};
