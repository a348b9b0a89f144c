/** The real clock, network, disk and HTTP of a role of the product's own wire. */
import { addresses, machine } from '@martenworks/core-types';
import type { Log, Ports } from '@martenworks/core-types';
import type { GatewaySettings } from '@martenworks/settings';
import { httpClients } from '@martenworks/upstream';
import { realHttpServer } from './httpServer.js';

/** Outgoing connections leave from the addresses that the settings name, so that a host may hold several nodes. */
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
