import { expect } from 'chai';
import type { EdgeContext } from '@martenworks/edge-proxy';
import { OldWeightsReport } from '@martenworks/edge-proxy';
import type { Admission, Placement } from '@martenworks/edge-proxy';

const versionMs = 8_000;

const reported = (version: number | null, ages: readonly (number | null)[]) => {
  const counted: string[] = [];
  const lines: Record<string, unknown>[] = [];
  const left = [...ages];
  const context = {
    settings: { versionMs },
    weightsTargets: { supersededForMs: () => left.shift() ?? null },
    metrics: { add: (name: string) => counted.push(name) },
    ports: { log: { warn: (_: string, fields: Record<string, unknown>) => lines.push(fields) } },
  } as unknown as EdgeContext;
  const admission = { metadata: { id: 'o-1', model: 'm' } } as unknown as Admission;
  const placed = { version, tracked: { endpoint: { id: 'r-1' } } } as unknown as Placement;
  new OldWeightsReport(context, admission, placed).recordStart();
  return { counted, lines };
};

describe('the report of attempts on old weights', () => {
  it('given the newest weights, or none, when the request begins, then nothing is counted or logged', () => {
    for (const { counted, lines } of [reported(2, [null, null]), reported(null, [1, 9_000])]) {
      expect(counted).to.deep.equal([]);
      expect(lines).to.deep.equal([]);
    }
  });

  it('given older weights, when the request begins within the bound, then the attempt is counted and nothing is logged', () => {
    const { counted, lines } = reported(1, [6_300, versionMs]);
    expect(counted).to.deep.equal(['attempts_on_old_weights']);
    expect(lines).to.deep.equal([]);
  });

  it('given older weights, when the request begins beyond the bound, then it is logged when it was sent and when it began', () => {
    const { counted, lines } = reported(1, [6_300, versionMs + 1]);
    expect(counted).to.deep.equal(['attempts_on_old_weights', 'began_late_on_old_weights']);
    expect(lines).to.deep.equal([
      { order: 'o-1', model: 'm', version: 1, replica: 'r-1', sentAfterMs: 6_300, beganAfterMs: versionMs + 1 },
    ]);
  });
});
