/** `npm run measure:rounds [KILLS] [ROUNDS]`: how soon a killed gateway is held to be down, and how often noise is taken for a failure. */
import { SimFleet } from '../simulator/simFleet.js';

const kills = Number(process.argv[2] ?? '30');
const noiseRounds = Number(process.argv[3] ?? '200');

const startedFleet = async (seed: number): Promise<SimFleet> => {
  const fleet = new SimFleet({ seed, gatewayCount: 9, replicaCount: 4 });
  await fleet.up();
  await fleet.world.run(6_000);
  return fleet;
};

const isDown = (fleet: SimFleet, node: string, least: number): boolean =>
  fleet.controlNodes.filter((controlNode) => controlNode?.failureVerdicts.isDown(node) === true).length >= least;

const fleet = await startedFleet(1);
const detectionTimesMs: number[] = [];
for (let at = 0; at < kills; at += 1) {
  const gateway = at % 9;
  fleet.killGateway(gateway);
  detectionTimesMs.push(await fleet.world.until('the verdict', () => isDown(fleet, `counter-${gateway + 1}`, 2)));
  await fleet.bootGateway(gateway);
  await fleet.world.run(5_000);
}
detectionTimesMs.sort((a, b) => a - b);
const at = (share: number): number =>
  Math.round(detectionTimesMs[Math.min(detectionTimesMs.length - 1, Math.floor(detectionTimesMs.length * share))] ?? 0);
process.stdout.write(`kills ${kills}: told after ms least ${at(0)} median ${at(0.5)} p90 ${at(0.9)} most ${at(1)}\n`);

for (const freezeMs of [300, 600, 1_000, 1_400, 1_800, 2_400]) {
  const noisyFleet = await startedFleet(2);
  let alarms = 0;
  let single = 0;
  for (let round = 0; round < noiseRounds; round += 1) {
    const hosts = [...noisyFleet.gatewayHosts, ...noisyFleet.controlNodeHosts];
    const pick = (): string => hosts[Math.floor(noisyFleet.world.random() * hosts.length)] as string;
    noisyFleet.world.blockLink(pick(), pick());
    noisyFleet.world.delayLink(pick(), pick(), freezeMs);
    const frozen = noisyFleet.world.machine(pick());
    frozen.freeze();
    await noisyFleet.world.run(freezeMs);
    for (const controlNode of noisyFleet.controlNodes)
      for (const line of controlNode?.failureVerdicts.status() ?? []) {
        if (line.isDown) alarms += 1;
        else single += 1;
      }
    frozen.thaw();
    await noisyFleet.world.run(1_500);
    for (const controlNode of noisyFleet.controlNodes)
      for (const line of controlNode?.failureVerdicts.status() ?? []) {
        if (line.isDown) alarms += 1;
        else single += 1;
      }
    noisyFleet.world.healAll();
  }
  process.stdout.write(
    `noise ${noiseRounds} rounds of a ${freezeMs} ms freeze, a slow link and a one-way cut: held to be down ${alarms}, missed by one watcher only ${single}\n`,
  );
}
