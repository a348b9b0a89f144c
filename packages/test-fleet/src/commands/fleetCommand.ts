/** `npm run fleet`: starts a fleet of real processes on loopback addresses and optionally generates load. */
import { parseArgs } from 'node:util';
import { sampleDeployments } from '../workload/sampleDeployments.js';
import { generateLoad, summaries } from '../workload/loadGenerator.js';
import { LocalFleet } from '../processes/localFleet.js';

const { values } = parseArgs({
  options: {
    firm: { type: 'string', default: 'stations' },
    net: { type: 'string', default: '10' },
    folder: { type: 'string', default: '.fleet' },
    seconds: { type: 'string', default: '0' },
    rate: { type: 'string' },
    seed: { type: 'string', default: '1' },
    long: { type: 'string', default: '0.06' },
    index: { type: 'string', default: 'on' },
    profile: { type: 'string' },
    help: { type: 'boolean', short: 'h' },
  },
});

if (values.help === true) {
  process.stdout.write(`a fleet of processes on this machine, one loopback IP per node, with emulated replicas

  --firm stations|sawmill   the sample deployment (stations)
  --net N                   the fleet's addresses are 127.N.x.x (10)
  --folder DIR              logs and data; emptied at the start (.fleet)
  --seconds N               generate load for N seconds, report and stop; 0: no load, run until Ctrl-C (0)
  --rate N                  requests per second (that of the deployment)
  --seed N                  seed of the load (1)
  --long SHARE              share of long prompts (0.06)
  --profile NAME            write a CPU profile of this node, such as gateway-1, to the folder
  --index on|off            whether gateways use the prefix-cache index (on)
`);
  process.exit(0);
}

const deployment = sampleDeployments[values.firm];
if (deployment === undefined) {
  process.stderr.write(`--firm: unknown deployment: ${values.firm}\n`);
  process.exit(2);
}
const fleet = new LocalFleet(
  deployment,
  values.folder,
  Number(values.net),
  9,
  ['--index', values.index],
  values.profile ?? null,
);
const stopAndExit = async (code: number): Promise<never> => {
  await fleet.down();
  process.exit(code);
};
process.once('SIGINT', () => void stopAndExit(0));
process.once('SIGTERM', () => void stopAndExit(0));
try {
  const startedAt = performance.now();
  await fleet.up();
  process.stdout.write(`ready in ${Math.round(performance.now() - startedAt)} ms\n`);
  process.stdout.write(
    `operator and platform API: http://${fleet.controlNodeHosts[0]}:7101  request API: http://${fleet.gatewayHosts[0]}:7101 (and ${fleet.gatewayHosts.length - 1} more)\n`,
  );
} catch (cause) {
  process.stderr.write(`${String(cause)}\n`);
  await stopAndExit(1);
}
const seconds = Number(values.seconds);
if (seconds > 0) {
  const outcomes = await generateLoad({
    hosts: fleet.gatewayHosts,
    ratePerSecond: values.rate === undefined ? deployment.ratePerSecond : Number(values.rate),
    seconds,
    seed: Number(values.seed),
    weights: () => ['weights-1'],
    longShare: Number(values.long),
  });
  process.stdout.write(
    `${JSON.stringify(summaries.counts(outcomes))}\n${summaries.lines(outcomes).join('\n')}\nemulated replicas: ${JSON.stringify(await fleet.replicaTotals())}\n`,
  );
  process.stdout.write(`${(await fleet.processMetrics()).join('\n')}\n`);
  if (values.profile !== undefined) await fleet.signal(values.profile, 'SIGTERM');
  await stopAndExit(0);
}
