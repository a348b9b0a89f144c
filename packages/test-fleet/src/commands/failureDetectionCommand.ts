/** `npm run measure:rounds [KILLS] [ROUNDS]`: measures how fast killed gateways are detected, and false positives. */
import { SimFleet } from '../simulator/simFleet.js';

const kills = Number(process.argv[2] ?? '30');
const noiseRounds = Number(process.argv[3] ?? '200');

const startedFleet = async (seed: number): Promise<SimFleet> => {
  const fleet = new SimFleet({ seed, gatewayCount: 9, replicaCount: 4 });
  await fleet.up();
  await fleet.world.run(6_000);
  return fleet;
};

const isDown = (fleet: SimFleet, node: string, minNodes: number): boolean =>
  fleet.controlNodes.filter((controlNode) => controlNode?.failureVerdicts.isDown(node) === true).length >= minNodes;

const fleet = await startedFleet(1);
const detectionTimesMs: number[] = [];
for (let at = 0; at < kills; at += 1) {
  const gateway = at % 9;
  fleet.killGateway(gateway);
  detectionTimesMs.push(
    await fleet.world.until('the failure verdict', () => isDown(fleet, `counter-${gateway + 1}`, 2)),
  );
  await fleet.bootGateway(gateway);
  await fleet.world.run(5_000);
}
detectionTimesMs.sort((a, b) => a - b);
const quantileOf = (share: number): number =>
  Math.round(detectionTimesMs[Math.min(detectionTimesMs.length - 1, Math.floor(detectionTimesMs.length * share))] ?? 0);
process.stdout.write(
  `${kills} kills: detected after ms min ${quantileOf(0)} median ${quantileOf(0.5)} p90 ${quantileOf(0.9)} max ${quantileOf(1)}\n`,
);

for (const freezeMs of [300, 600, 1_000, 1_400, 1_800, 2_400]) {
  const noisyFleet = await startedFleet(2);
  let falsePositives = 0;
  let singleReports = 0;
  for (let round = 0; round < noiseRounds; round += 1) {
    const hosts = [...noisyFleet.gatewayHosts, ...noisyFleet.controlNodeHosts];
    const pick = (): string => hosts[Math.floor(noisyFleet.world.random() * hosts.length)] as string;
    noisyFleet.world.blockLink(pick(), pick());
    noisyFleet.world.delayLink(pick(), pick(), freezeMs);
    const frozen = noisyFleet.world.machine(pick());
    frozen.freeze();
    await noisyFleet.world.run(freezeMs);
    for (const controlNode of noisyFleet.controlNodes)
      for (const verdict of controlNode?.failureVerdicts.status() ?? []) {
        if (verdict.isDown) falsePositives += 1;
        else singleReports += 1;
      }
    frozen.thaw();
    await noisyFleet.world.run(1_500);
    for (const controlNode of noisyFleet.controlNodes)
      for (const verdict of controlNode?.failureVerdicts.status() ?? []) {
        if (verdict.isDown) falsePositives += 1;
        else singleReports += 1;
      }
    noisyFleet.world.healAll();
  }
  process.stdout.write(
    `${noiseRounds} rounds of noise, a ${freezeMs} ms freeze, a slow link and a one-way partition each: false positives ${falsePositives}, reported by one watcher only ${singleReports}\n`,
  );
}
