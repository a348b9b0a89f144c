import { carriages } from '@martenworks/courier';
import { machine } from '@martenworks/envelope';
import { realDoor } from '@martenworks/postrider';
import { StandIn } from './standIn.js';
import type { StandInEnv } from './standIn.js';

const envs = JSON.parse(process.argv[2] ?? '[]') as StandInEnv[];
for (const env of envs) {
  const standIn = new StandIn(env, machine.clock, carriages.real(null));
  const door = await realDoor.open(env.address, standIn.app.fetch);
  if (door.isErr()) {
    process.stderr.write(`${env.name}: ${door.error.code}\n`);
    process.exit(1);
  }
}
process.stdout.write('ready\n');
process.on('disconnect', () => process.exit(0));
