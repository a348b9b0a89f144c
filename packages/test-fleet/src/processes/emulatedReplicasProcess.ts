import { carriages } from '@martenworks/upstream';
import { machine } from '@martenworks/core-types';
import type { Clock, WebHandler } from '@martenworks/core-types';
import { realDoor } from '@martenworks/postrider';
import { EmulatedReplica } from '../replica/emulatedReplica.js';
import type { EmulatedReplicaSettings } from '../replica/emulatedReplica.js';

export interface EmulatedReplicaSpec {
  readonly env: EmulatedReplicaSettings;
  readonly listen: string;
}

const clock: Clock = { ...machine.clock, now: () => performance.timeOrigin + performance.now() };
const specs = JSON.parse(process.argv[2] ?? '[]') as EmulatedReplicaSpec[];
const control = process.argv[3];
const replicas: EmulatedReplica[] = [];

const opened = async (address: string, handler: WebHandler): Promise<boolean> => {
  const door = await realDoor.open(address, handler);
  if (door.isErr()) process.stderr.write(`${address}: ${door.error.code}\n`);
  return door.isOk();
};

const startReplica = async ({ env, listen }: EmulatedReplicaSpec): Promise<boolean> => {
  const replica = new EmulatedReplica(env, clock, carriages.real(null));
  replicas.push(replica);
  return opened(listen, replica.app.fetch);
};

const controls: WebHandler = async (request) => {
  if (new URL(request.url).pathname === '/start')
    return new Response(null, {
      status: (await startReplica((await request.json()) as EmulatedReplicaSpec)) ? 200 : 500,
    });
  return Response.json({
    replicas: replicas.map(({ env, runs, arrivals, breaches }) => ({
      name: env.name,
      incarnation: env.incarnation,
      runs,
      arrivals,
      breaches,
    })),
  });
};

for (const spec of specs) if (!(await startReplica(spec))) process.exit(1);
if (control !== undefined && !(await opened(control, controls))) process.exit(1);
process.stdout.write('ready\n');
process.on('disconnect', () => process.exit(0));
