import { readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import Mocha from 'mocha';

const folder = join(dirname(fileURLToPath(import.meta.url)), 'stories');
const wanted = process.argv[2] ?? '';
const mocha = new Mocha({ reporter: 'spec', timeout: 900_000, forbidOnly: true });
for (const file of readdirSync(folder).sort()) if (file.endsWith('.js') && file.includes(wanted)) mocha.addFile(join(folder, file));
await mocha.loadFilesAsync();
let passed = 0;
let failed = 0;
const runner = mocha.run(() => {
  const isSound = passed > 0 && failed === 0;
  process.stdout.write(`${passed} passed, ${failed} failed\n`, () => process.exit(isSound ? 0 : 1));
});
runner.on('pass', () => (passed += 1));
runner.on('fail', () => (failed += 1));
