import { expect } from 'chai';
import { capacityEstimates, fits, capacityModel, plots, tables } from '@martenworks/test-fleet';
import type { Measurement, Point } from '@martenworks/test-fleet';

const points = (at: readonly number[], measure: (x: number) => number): Point[] =>
  at.map((x) => ({ x, values: [measure(x)] }));
const xs = [10, 50, 100, 200, 400];

const measured = (more: Partial<Measurement> = {}): Measurement => ({
  run: 'pings/x',
  what: 'a cost',
  unit: 'us',
  over: 'fronts',
  target: 800,
  points: points(xs, (x) => 7 + 3 * x),
  ...more,
});

describe('the fit of capacity runs', () => {
  it('given points on a line, when they are fitted, then slope, intercept and r2 are theirs, and a size beyond them lies on the line and is called extrapolated', () => {
    const found = fits.fit(measured().points);
    expect([
      found.shape,
      Math.round(found.slope * 1e6) / 1e6,
      Math.round(found.intercept * 1e6) / 1e6,
      found.r2,
    ]).to.deep.equal(['line', 3, 7, 1]);
    const told = fits.forecast(measured().points, found, 800);
    expect([Math.round(told.value), told.how]).to.deep.equal([2_407, 'extrapolated']);
  });

  it('given a curve that bends up, when it is fitted, then it is not called a line, and a size beyond it follows its exponent at the top', () => {
    const curve = points(xs, (x) => x ** 2);
    const found = fits.fit(curve);
    expect(found.shape).to.equal('not a line');
    expect(found.exponent).to.be.closeTo(2, 1e-9);
    expect(fits.forecast(curve, found, 800).value).to.be.closeTo(640_000, 1);
  });

  it('given a curve that levels off, when it is fitted, then it is not called a line', () => {
    expect(fits.fit(points(xs, (x) => 100 - 90 / (x / 10))).shape).to.equal('not a line');
  });

  it('given values that hardly change, when they are fitted, then they are called flat, and every size has their median', () => {
    const level = points(xs, (x) => (x === 50 ? 104 : 100));
    const found = fits.fit(level);
    expect([found.shape, fits.forecast(level, found, 9_999).value]).to.deep.equal(['flat', 100]);
  });

  it('given repeats, when a point is fitted, then its median counts, and the widest spread of all points is told', () => {
    const some: Point[] = [
      { x: 1, values: [10, 12, 11] },
      { x: 2, values: [20, 40, 20] },
    ];
    const found = fits.fit(some);
    expect([found.slope, found.spread]).to.deep.equal([9, 1]);
  });

  it('given a size that was measured or lies between measured ones, when it is forecast, then that is said', () => {
    const found = fits.fit(measured().points);
    expect(fits.forecast(measured().points, found, 400)).to.deep.equal({ value: 1_207, how: 'measured' });
    expect(fits.forecast(measured().points, found, 300).how).to.equal('interpolated');
  });

  it('given one point, when it is fitted and forecast, then nothing is NaN', () => {
    const one = points([5], () => 9);
    const found = fits.fit(one);
    expect([found.slope, found.shape, fits.forecast(one, found, 50).value]).to.deep.equal([0, 'flat', 9]);
  });
});

describe('the table and plot of capacity runs', () => {
  it('given a run, when its row is written, then it names the run, each median, the fit and the figure at the size with how it was got', () => {
    const cells = tables
      .row(measured())
      .split('|')
      .map((cell) => cell.trim());
    expect(cells.slice(1, -1)).to.deep.equal([
      '`pings/x`',
      'a cost (us)',
      'fronts',
      '10: 37, 50: 157, 100: 307, 200: 607, 400: 1.21k',
      '3',
      '7',
      '1.000',
      '0 %',
      'line',
      '2.41k at 800, extrapolated',
    ]);
  });

  it('given figures of all sizes, when they are written, then three digits are kept and none is in exponents', () => {
    expect([0, 0.0123, 1, 0.5, 42.25, 100, 1_234, 28_000, 28_000_000, 3_240_000_000].map(tables.figure)).to.deep.equal([
      '0',
      '0.0123',
      '1',
      '0.5',
      '42.3',
      '100',
      '1.23k',
      '28k',
      '28.0M',
      '3.24G',
    ]);
  });

  it('given two runs, when the table is written, then each has a row under one head', () => {
    const lines = tables.markdown([measured(), measured({ run: 'pushes/y' })]).split('\n');
    expect(lines.length).to.equal(4);
    expect(new Set(lines.map((line) => line.split('|').length)).size).to.equal(1);
  });

  it('given runs with signs that XML keeps for itself, when they are plotted, then these are escaped, and each point has its median and its range', () => {
    const drawn = plots.svg([
      measured({
        run: 'a<b&c',
        points: [
          { x: 1, values: [2, 3] },
          { x: 2, values: [4, 5] },
        ],
      }),
    ]);
    expect(drawn).to.include('a&lt;b&amp;c');
    expect(drawn.match(/<circle/g)?.length).to.equal(2);
    expect(
      /class="range"/.test(drawn) && /M[\d.]+,[\d.]+V[\d.]+M[\d.]+,[\d.]+V[\d.]+" class="range"/.test(drawn),
    ).to.equal(true);
    expect(drawn).to.not.match(/NaN|undefined/);
  });
});

describe('the model of the size that decides', () => {
  const named = [...new Set(capacityEstimates.flatMap(capacityModel.runsIn))];
  const all = named.map((run) => measured({ run, target: 400, points: points([100, 200, 400], (x) => x) }));

  it('given a run for each name that a line tells, when the lines are worked out, then none lacks a figure', () => {
    expect(capacityModel.evaluate(all).filter(({ value }) => !Number.isFinite(value))).to.deep.equal([]);
  });

  it('given a run that is missing, when the lines are worked out, then only the lines that name it lack a figure', () => {
    const without = all.filter(({ run }) => run !== 'watch/beat-cpu');
    const lacking = capacityModel
      .evaluate(without)
      .filter(({ value }) => !Number.isFinite(value))
      .map(({ id }) => id);
    expect(lacking).to.deep.equal(
      capacityEstimates.filter(({ formula }) => formula.includes('watch/beat-cpu')).map(({ id }) => id),
    );
  });

  it('given figures beside their budget, when the lines are worked out, then each says whether it meets or breaks it', () => {
    const told = (ms: number): string | undefined =>
      capacityModel
        .evaluate([measured({ run: 'watch/beat-cpu', target: 400, points: points([400], () => ms) })])
        .find(({ id }) => id === 'N2')?.verdict;
    expect([told(15), told(60)]).to.deep.equal(['meets 30', '**breaks** 30, 4 times']);
  });

  it('given runs that reach the size, stop short of it or belong to a design, when the lines are worked out, then each says that it was measured, modelled or is not built', () => {
    const short = all.map((one) => (one.run === 'gossip/bytes' ? { ...one, target: 9_999 } : one));
    const statusOf = (id: string): string | undefined =>
      capacityModel.evaluate(short).find((one) => one.id === id)?.status;
    expect(['N2', 'N1', 'C5', 'D1'].map(statusOf)).to.deep.equal([
      'runs today and measured',
      'modelled from a slope',
      'modelled from a slope',
      'not built',
    ]);
  });
});
