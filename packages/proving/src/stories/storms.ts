import { expect } from 'chai';
import { Storm, faultKinds } from '../sim/storm.js';

describe('storms', () => {
  it('given one seed, when its storm is run twice, then both runs are the same to the event', async () => {
    const first = await new Storm({ seed: 77, faults: 8 }).run();
    const second = await new Storm({ seed: 77, faults: 8 }).run();
    expect(second).to.deep.equal(first);
  });

  it('given each kind of fault by itself, when it is brought about, then no line of the never list is broken', async () => {
    for (const [at, kind] of faultKinds.entries()) {
      const report = await new Storm({ seed: 500 + at, kinds: [kind], faults: 2, spanMs: 8_000 }).run();
      expect(report.brought[kind], kind).to.be.greaterThan(0);
      expect(report.complaints, `${kind}, seed ${report.seed}`).to.deep.equal([]);
    }
  });

  it('given many faults at once, when eight storms pass, then no line of the never list is broken', async () => {
    for (let seed = 900; seed < 908; seed += 1) {
      const report = await new Storm({ seed, faults: 12 }).run();
      expect(report.complaints, `seed ${seed}: ${JSON.stringify(report.brought)}`).to.deep.equal([]);
    }
  });
});
