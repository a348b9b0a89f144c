import { parseArgs } from 'node:util';
import { Storm, faultKinds } from './sim/storm.js';
import type { FaultKind } from './sim/storm.js';

const { values } = parseArgs({
  options: {
    from: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '20' },
    faults: { type: 'string', default: '6' },
    only: { type: 'string' },
    verbose: { type: 'boolean', default: false },
    help: { type: 'boolean', short: 'h' },
  },
});

if (values.help === true) {
  process.stdout.write(`seeded storms over the in-memory fleet; every line of the never list is judged

  --from N       first seed (1)
  --seeds N      how many seeds (20)
  --faults N     faults in a storm (6)
  --only "KIND"  one kind of fault, or several parted by commas
  --verbose      the log of each failing seed

kinds: ${faultKinds.join(', ')}
`);
  process.exit(0);
}

const kinds = values.only === undefined ? faultKinds : values.only.split(',').filter((kind): kind is FaultKind => (faultKinds as readonly string[]).includes(kind));
const brought: Record<string, number> = {};
const rules: Record<string, number> = {};
let failing = 0;
let calls = 0;
const from = Number(values.from);
for (let seed = from; seed < from + Number(values.seeds); seed += 1) {
  const storm = new Storm({ seed, kinds, faults: Number(values.faults) });
  try {
    const report = await storm.run();
    calls += report.calls;
    for (const [kind, count] of Object.entries(report.brought)) brought[kind] = (brought[kind] ?? 0) + count;
    for (const told of report.complaints) rules[told.rule] = (rules[told.rule] ?? 0) + 1;
    if (report.complaints.length > 0) {
      failing += 1;
      process.stdout.write(`seed ${seed}: ${JSON.stringify(report.brought)} ${JSON.stringify(report.tally)}\n`);
      for (const told of report.complaints.slice(0, 5)) process.stdout.write(`  ${told.rule}: ${told.detail}\n`);
    }
  } catch (cause) {
    failing += 1;
    process.stdout.write(`seed ${seed}: ${JSON.stringify(storm.brought)} ${String((cause as Error).message)}\n`);
    rules['the storm did not end'] = (rules['the storm did not end'] ?? 0) + 1;
  }
  if (values.verbose) for (const line of storm.fleet.world.lines) process.stdout.write(`    ${Math.round(line.at)} ${line.machine} ${line.message} ${JSON.stringify(line.context)}\n`);
}
process.stdout.write(`seeds ${from}..${from + Number(values.seeds) - 1}: ${calls} calls, ${failing} failing seeds\nbrought: ${JSON.stringify(brought)}\nrules: ${JSON.stringify(rules)}\n`);
process.exit(failing === 0 ? 0 : 1);
