/** `npm run fleet`: starts a fleet of real processes on loopback, and drives load if told to. */
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
  process.stdout.write(`a whole fleet on this machine, one loopback IP a machine, against stand-in replicas

  --firm stations|sawmill   which firm's sizes (stations)
  --net N                   the fleet's addresses are 127.N.x.x (10)
  --folder DIR              logs and data; emptied at the start (.fleet)
  --seconds N               drive load for N seconds, report, stop; 0 keeps it up until Ctrl-C (0)
  --rate N                  requests a second (the firm's)
  --seed N                  seed of the load (1)
  --long SHARE              share of long prompts (0.06)
  --profile NAME            a CPU profile of that node, such as gateway-1, into the folder
  --index on|off            whether counters use the index of kept prompts (on)
`);
  process.exit(0);
}

const deployment = sampleDeployments[values.firm];
if (deployment === undefined) {
  process.stderr.write(`no such firm: ${values.firm}\n`);
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
const quit = async (code: number): Promise<never> => {
  await fleet.down();
  process.exit(code);
};
process.once('SIGINT', () => void quit(0));
process.once('SIGTERM', () => void quit(0));
try {
  const begin = performance.now();
  await fleet.up();
  process.stdout.write(`up in ${Math.round(performance.now() - begin)} ms\n`);
  process.stdout.write(
    `operator and platform: http://${fleet.controlNodeHosts[0]}:7101  callers: http://${fleet.gatewayHosts[0]}:7101 (and ${fleet.gatewayHosts.length - 1} more)\n`,
  );
} catch (cause) {
  process.stderr.write(`${String(cause)}\n`);
  await quit(1);
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
    `${JSON.stringify(summaries.counts(outcomes))}\n${summaries.lines(outcomes).join('\n')}\nstand-ins: ${JSON.stringify(await fleet.replicaTotals())}\n`,
  );
  process.stdout.write(`${(await fleet.processMetrics()).join('\n')}\n`);
  if (values.profile !== undefined) await fleet.signal(values.profile, 'SIGTERM');
  await quit(0);
}
