import { expect } from 'chai';
import {
  faultKinds,
  permanentLossKinds,
  deploymentSizes,
  FaultInjectionRun,
  testLength,
} from '@martenworks/test-fleet';
import type { PermanentLossKind } from '@martenworks/test-fleet';

const concurrentFaultsSeeds = testLength.seeds({ always: [900, 901, 902, 903], longRun: [904, 905, 906, 907] });

describe('fault injection', () => {
  it('given a seed, when its fault schedule runs twice, then both runs have the same events and report', async () => {
    const first = await new FaultInjectionRun({ seed: 77, faultCount: 8 }).run();
    const second = await new FaultInjectionRun({ seed: 77, faultCount: 8 }).run();
    expect(second).to.deep.equal(first);
  });

  for (const [at, kind] of faultKinds.entries()) {
    it(`given the fault "${kind}", when it is injected, then no safety invariant is violated`, async () => {
      const report = await new FaultInjectionRun({
        seed: 500 + at,
        kinds: [kind],
        faultCount: 2,
        spanMs: 8_000,
        permanentLoss: permanentLossKinds[at % permanentLossKinds.length] as PermanentLossKind,
      }).run();
      expect(report.injected[kind]).to.be.greaterThan(0);
      expect(report.violations, `seed ${report.seed}`).to.deep.equal([]);
    });
  }

  for (const seed of concurrentFaultsSeeds) {
    it(`given many concurrent faults, when the fault schedule of seed ${seed} runs, then no safety invariant is violated`, async () => {
      const report = await new FaultInjectionRun({ seed, faultCount: 12 }).run();
      expect(report.violations, JSON.stringify(report.injected)).to.deep.equal([]);
    });
  }

  for (const [size, seed] of [
    ['sawmill', 50_000],
    ['stations', 53_000],
  ] as const) {
    it(`given the users' full size (${size}), when the fault schedule of seed ${seed} runs, then no safety invariant is violated`, async () => {
      const report = await new FaultInjectionRun({ seed, faultCount: 10, ...deploymentSizes[size] }).run();
      expect(report.violations, JSON.stringify(report.injected)).to.deep.equal([]);
      expect(report.calls).to.be.greaterThan(5_000);
    });
  }
});
