import { expect } from 'chai';
import type { EdgeContext } from '@martenworks/edge-proxy';
import { OldWeightsReport } from '@martenworks/edge-proxy';
import type { Admission, Placement } from '@martenworks/edge-proxy';

const versionMs = 8_000;

const reportOf = (version: number | null, ages: readonly (number | null)[]) => {
  const counters: string[] = [];
  const lines: Record<string, unknown>[] = [];
  const remainingAges = [...ages];
  const context = {
    settings: { versionMs },
    weightsTargets: { supersededForMs: () => remainingAges.shift() ?? null },
    metrics: { add: (name: string) => counters.push(name) },
    ports: { log: { warn: (_: string, fields: Record<string, unknown>) => lines.push(fields) } },
  } as unknown as EdgeContext;
  const admission = { metadata: { id: 'o-1', model: 'm' } } as unknown as Admission;
  const placed = { version, tracked: { endpoint: { id: 'r-1' } } } as unknown as Placement;
  new OldWeightsReport(context, admission, placed).recordStart();
  return { counted: counters, lines };
};

describe('the report of attempts on superseded weights', () => {
  it('given the newest weights, or none, when the request starts, then nothing is counted or logged', () => {
    for (const { counted, lines } of [reportOf(2, [null, null]), reportOf(null, [1, 9_000])]) {
      expect(counted).to.deep.equal([]);
      expect(lines).to.deep.equal([]);
    }
  });

  it('given older weights, when the request starts within the limit, then the attempt is counted and nothing is logged', () => {
    const { counted, lines } = reportOf(1, [6_300, versionMs]);
    expect(counted).to.deep.equal(['attempts_on_old_weights']);
    expect(lines).to.deep.equal([]);
  });

  it('given older weights, when the request starts beyond the limit, then the times of sending and starting are logged', () => {
    const { counted, lines } = reportOf(1, [6_300, versionMs + 1]);
    expect(counted).to.deep.equal(['attempts_on_old_weights', 'began_late_on_old_weights']);
    expect(lines).to.deep.equal([
      { order: 'o-1', model: 'm', version: 1, replica: 'r-1', sentAfterMs: 6_300, beganAfterMs: versionMs + 1 },
    ]);
  });
});
