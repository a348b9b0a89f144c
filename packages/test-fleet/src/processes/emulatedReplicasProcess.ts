/**
 * A process that serves several emulated replicas: `emulatedReplicasProcess SPECS CONTROL`. SPECS is a JSON list of
 * {@link EmulatedReplicaSpec}. The HTTP server at CONTROL (`IP:PORT`) starts more replicas and returns all records.
 */
import { httpClients } from '@martenworks/upstream';
import { machine } from '@martenworks/core-types';
import type { Clock, WebHandler } from '@martenworks/core-types';
import { realHttpServer } from '@martenworks/cli';
import { EmulatedReplica } from '../replica/emulatedReplica.js';
import type { EmulatedReplicaSettings } from '../replica/replicaRecords.js';

/** A replica to serve, and the address `IP:PORT` that it listens on. */
export interface EmulatedReplicaSpec {
  readonly settings: EmulatedReplicaSettings;
  readonly listen: string;
}

const clock: Clock = { ...machine.clock, now: () => performance.timeOrigin + performance.now() };
const specs = JSON.parse(process.argv[2] ?? '[]') as EmulatedReplicaSpec[];
const control = process.argv[3];
const replicas: EmulatedReplica[] = [];

const openServer = async (address: string, handler: WebHandler): Promise<boolean> => {
  const server = await realHttpServer.open(address, handler);
  if (server.isErr()) process.stderr.write(`${address}: ${server.error.code}\n`);
  return server.isOk();
};

const startReplica = async ({ settings, listen }: EmulatedReplicaSpec): Promise<boolean> => {
  const replica = new EmulatedReplica(settings, clock, httpClients.real(null));
  replicas.push(replica);
  return openServer(listen, replica.app.fetch);
};

const controlHandler: WebHandler = async (request) => {
  if (new URL(request.url).pathname === '/start')
    return new Response(null, {
      status: (await startReplica((await request.json()) as EmulatedReplicaSpec)) ? 200 : 500,
    });
  return Response.json({
    replicas: replicas.map(({ settings, runs, arrivals, breaches }) => ({
      name: settings.name,
      incarnation: settings.incarnation,
      runs,
      arrivals,
      breaches,
    })),
  });
};

for (const spec of specs) if (!(await startReplica(spec))) process.exit(1);
if (control !== undefined && !(await openServer(control, controlHandler))) process.exit(1);
process.stdout.write('ready\n');
process.on('disconnect', () => process.exit(0));
