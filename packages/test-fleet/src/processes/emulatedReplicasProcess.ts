import { carriages } from '@martenworks/upstream';
import { machine } from '@martenworks/core-types';
import type { Clock, WebHandler } from '@martenworks/core-types';
import { realDoor } from '@martenworks/postrider';
import { StandIn } from '../replica/emulatedReplica.js';
import type { StandInEnv } from '../replica/emulatedReplica.js';

export interface StandInSeat {
  readonly env: StandInEnv;
  readonly listen: string;
}

const clock: Clock = { ...machine.clock, now: () => performance.timeOrigin + performance.now() };
const seats = JSON.parse(process.argv[2] ?? '[]') as StandInSeat[];
const control = process.argv[3];
const lives: StandIn[] = [];

const opened = async (address: string, handler: WebHandler): Promise<boolean> => {
  const door = await realDoor.open(address, handler);
  if (door.isErr()) process.stderr.write(`${address}: ${door.error.code}\n`);
  return door.isOk();
};

const rise = async ({ env, listen }: StandInSeat): Promise<boolean> => {
  const standIn = new StandIn(env, clock, carriages.real(null));
  lives.push(standIn);
  return opened(listen, standIn.app.fetch);
};

const controls: WebHandler = async (request) => {
  if (new URL(request.url).pathname === '/rise')
    return new Response(null, { status: (await rise((await request.json()) as StandInSeat)) ? 200 : 500 });
  return Response.json({
    lives: lives.map(({ env, runs, visits, breaches }) => ({
      name: env.name,
      incarnation: env.incarnation,
      runs,
      visits,
      breaches,
    })),
  });
};

for (const seat of seats) if (!(await rise(seat))) process.exit(1);
if (control !== undefined && !(await opened(control, controls))) process.exit(1);
process.stdout.write('ready\n');
process.on('disconnect', () => process.exit(0));
