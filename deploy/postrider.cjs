'use strict';
// One program; each role loads its own file, since what a role does not use would make it start later.
const files = { edge: './roles/edge.cjs', core: './roles/core.cjs' };
require(files[process.argv[2]] ?? './roles/postrider.cjs');
