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
  over: 'edges',
  target: 800,
  points: points(xs, (x) => 7 + 3 * x),
  ...more,
});

describe('the fit of capacity runs', () => {
  it('given points on a line, when they are fitted, then the fit has the slope, intercept and r2 of the line, and a larger size is extrapolated along it', () => {
    const fitted = fits.fit(measured().points);
    expect([
      fitted.shape,
      Math.round(fitted.slope * 1e6) / 1e6,
      Math.round(fitted.intercept * 1e6) / 1e6,
      fitted.r2,
    ]).to.deep.equal(['line', 3, 7, 1]);
    const forecast = fits.forecast(measured().points, fitted, 800);
    expect([Math.round(forecast.value), forecast.how]).to.deep.equal([2_407, 'extrapolated']);
  });

  it('given a quadratic curve, when it is fitted, then its shape is not a line, and a larger size is extrapolated by the exponent of the last points', () => {
    const curve = points(xs, (x) => x ** 2);
    const fitted = fits.fit(curve);
    expect(fitted.shape).to.equal('not a line');
    expect(fitted.exponent).to.be.closeTo(2, 1e-9);
    expect(fits.forecast(curve, fitted, 800).value).to.be.closeTo(640_000, 1);
  });

  it('given a curve that levels off, when it is fitted, then its shape is not a line', () => {
    expect(fits.fit(points(xs, (x) => 100 - 90 / (x / 10))).shape).to.equal('not a line');
  });

  it('given nearly constant values, when they are fitted, then their shape is flat, and the forecast for any size is their median', () => {
    const level = points(xs, (x) => (x === 50 ? 104 : 100));
    const fitted = fits.fit(level);
    expect([fitted.shape, fits.forecast(level, fitted, 9_999).value]).to.deep.equal(['flat', 100]);
  });

  it('given repeated values, when they are fitted, then the fit uses their medians and reports the widest spread of all points', () => {
    const repeated: Point[] = [
      { x: 1, values: [10, 12, 11] },
      { x: 2, values: [20, 40, 20] },
    ];
    const fitted = fits.fit(repeated);
    expect([fitted.slope, fitted.spread]).to.deep.equal([9, 1]);
  });

  it('given a measured size and a size between measured ones, when they are forecast, then the values are marked measured and interpolated', () => {
    const fitted = fits.fit(measured().points);
    expect(fits.forecast(measured().points, fitted, 400)).to.deep.equal({ value: 1_207, how: 'measured' });
    expect(fits.forecast(measured().points, fitted, 300).how).to.equal('interpolated');
  });

  it('given a single point, when it is fitted and forecast, then the shape is flat and no value is NaN', () => {
    const one = points([5], () => 9);
    const fitted = fits.fit(one);
    expect([fitted.slope, fitted.shape, fits.forecast(one, fitted, 50).value]).to.deep.equal([0, 'flat', 9]);
  });
});

describe('the table and plot of capacity runs', () => {
  it('given a run, when its row is formatted, then it has the run, the medians, the fit and the forecast with its method', () => {
    const cells = tables
      .row(measured())
      .split('|')
      .map((cell) => cell.trim());
    expect(cells.slice(1, -1)).to.deep.equal([
      '`pings/x`',
      'a cost (us)',
      'edges',
      '10: 37, 50: 157, 100: 307, 200: 607, 400: 1.21k',
      '3',
      '7',
      '1.000',
      '0 %',
      'line',
      '2.41k at 800, extrapolated',
    ]);
  });

  it('given numbers of all magnitudes, when they are formatted, then they have at most three significant digits and no exponent', () => {
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

  it('given two runs, when the table is formatted, then it has one header and one row per run', () => {
    const lines = tables.markdown([measured(), measured({ run: 'pushes/y' })]).split('\n');
    expect(lines.length).to.equal(4);
    expect(new Set(lines.map((line) => line.split('|').length)).size).to.equal(1);
  });

  it('given a run with XML special characters in its name, when it is plotted, then they are escaped, and each point has its median and range', () => {
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

describe('the capacity estimates of the planned fleet', () => {
  const named = [...new Set(capacityEstimates.flatMap(capacityModel.runsIn))];
  const all = named.map((run) => measured({ run, target: 400, points: points([100, 200, 400], (x) => x) }));

  it('given every run that a formula names, when the estimates are evaluated, then all have a value', () => {
    expect(capacityModel.evaluate(all).filter(({ value }) => !Number.isFinite(value))).to.deep.equal([]);
  });

  it('given a missing run, when the estimates are evaluated, then only those whose formula names it have no value', () => {
    const without = all.filter(({ run }) => run !== 'watch/beat-cpu');
    const withoutValue = capacityModel
      .evaluate(without)
      .filter(({ value }) => !Number.isFinite(value))
      .map(({ id }) => id);
    expect(withoutValue).to.deep.equal(
      capacityEstimates.filter(({ formula }) => formula.includes('watch/beat-cpu')).map(({ id }) => id),
    );
  });

  it('given values below and above a budget, when the estimates are evaluated, then the verdict is that they meet or break it', () => {
    const verdictAt = (ms: number): string | undefined =>
      capacityModel
        .evaluate([measured({ run: 'watch/beat-cpu', target: 400, points: points([400], () => ms) })])
        .find(({ id }) => id === 'N2')?.verdict;
    expect([verdictAt(15), verdictAt(60)]).to.deep.equal(['meets 30', '**breaks** 30, 4 times']);
  });

  it('given estimates from measured, extrapolated or scaled runs and of a design, when they are evaluated, then the status is measured, modelled or not built', () => {
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
