'use strict';
// One program; each role loads its own file, since what a role does not use would make it start later.
// A role takes SIGHUP once it has loaded; until then the signal must not end the process, which reads its settings later.
process.on('SIGHUP', () => {});

const files = { edge: './roles/edge.cjs', control: './roles/control.cjs' };
const formerNames = { core: 'control' };

let role = process.argv[2];
if (Object.hasOwn(formerNames, role)) {
  process.stderr.write(`martenworks: the role ${role} is called ${formerNames[role]} now\n`);
  role = formerNames[role];
}
require(files[role] ?? './roles/martenworks.cjs');
