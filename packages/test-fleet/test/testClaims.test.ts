import { Worker } from 'node:worker_threads';
import { expect } from 'chai';
import { TestClaims } from '@martenworks/test-fleet';

const testCount = 5_000;
const workerCount = 4;

const claimAll = `
  import { parentPort, workerData } from 'node:worker_threads';
  import { TestClaims } from ${JSON.stringify(import.meta.resolve('@martenworks/test-fleet'))};
  const claims = new TestClaims(workerData);
  const own = [];
  for (let position = 0; position < ${testCount}; position += 1) if (claims.claim(position)) own.push(position);
  parentPort.postMessage(own);
`;

const claimedBy = (memory: SharedArrayBuffer): Promise<number[]> =>
  new Promise((resolve, fail) => {
    const code = new URL(`data:text/javascript,${encodeURIComponent(claimAll)}`);
    const worker = new Worker(code, { workerData: memory });
    worker.once('message', resolve);
    worker.once('error', fail);
  });

describe('test claims', () => {
  it('given a run, when two workers claim the same test, then only the first claim succeeds, and another run is not affected', () => {
    const memory = TestClaims.createMemory();
    const [first, second] = [new TestClaims(memory), new TestClaims(memory)];
    expect([first.claim(3), second.claim(3), first.claim(3)]).to.deep.equal([true, false, false]);
    expect(second.claim(4)).to.equal(true);
    expect(new TestClaims(TestClaims.createMemory()).claim(3)).to.equal(true);
  });

  it('given worker threads that claim all tests concurrently, when all threads finish, then each test was claimed by exactly one of them', async () => {
    const memory = TestClaims.createMemory();
    const claimed = await Promise.all(Array.from({ length: workerCount }, () => claimedBy(memory)));
    const positions = claimed.flat().sort((a, b) => a - b);
    expect(positions).to.deep.equal(Array.from({ length: testCount }, (_, position) => position));
  });

  it('given a position beyond the maximum number of tests, when it is claimed, then a RangeError is thrown rather than the test skipped', () => {
    const claims = new TestClaims(TestClaims.createMemory());
    expect(() => claims.claim(65_536)).to.throw(RangeError);
  });
});
