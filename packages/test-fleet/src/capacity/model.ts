/** Evaluates the capacity estimates from measured runs and formats them as a table. */
import { fits } from './curveFit.js';
import { budget } from './estimates/capacityEstimate.js';
import type { CapacityEstimate, CostOf } from './estimates/capacityEstimate.js';
import { controlNodeEstimates } from './estimates/controlNodeEstimates.js';
import { gatewayEstimates } from './estimates/gatewayEstimates.js';
import { membershipEstimates } from './estimates/membershipEstimates.js';
import { plannedEstimates } from './estimates/plannedEstimates.js';
import { routeEstimates } from './estimates/routeEstimates.js';
import { runningPerEdge } from './fleetSize.js';
import { tables } from './table.js';
import type { Measurement } from './table.js';

/** All estimates, in the order of the table. */
export const capacityEstimates: readonly CapacityEstimate[] = [
  ...gatewayEstimates,
  ...membershipEstimates,
  ...controlNodeEstimates,
  ...routeEstimates,
  ...plannedEstimates,
];

type Status = 'runs today and measured' | 'modelled from a slope' | 'not built';

/** An estimate with its value at the planned size, which is NaN if a run is missing. */
interface EvaluatedEstimate {
  readonly id: string;
  readonly value: number;
  readonly verdict: string;
  readonly status: Status;
}

const planned = new Set(plannedEstimates.map(({ id }) => id));

const verdictOf = ({ budgetItem }: CapacityEstimate, value: number): string => {
  if (budgetItem === null) return '';
  const limit = budget[budgetItem];
  if (value <= limit) return `meets ${tables.figure(limit)}`;
  return `**breaks** ${tables.figure(limit)}, ${tables.figure(value / limit)} times`;
};

const runsIn = ({ formula }: CapacityEstimate): string[] =>
  [...formula.matchAll(/`([a-z-]+\/[a-z-]+)`/g)].map((match) => match[1] as string);

const evaluate = (measured: readonly Measurement[]): EvaluatedEstimate[] => {
  const byRun = new Map(measured.map((one) => [one.run, one]));
  const forecastOf = (run: string, at?: number) => {
    const one = byRun.get(run);
    return one === undefined ? null : fits.forecast(one.points, fits.fit(one.points), at ?? one.target);
  };
  const costOf: CostOf = (run, at) => forecastOf(run, at)?.value ?? Number.NaN;
  const isMeasured = (run: string): boolean => {
    const forecast = forecastOf(run);
    return forecast !== null && forecast.how !== 'extrapolated';
  };
  const statusOf = (estimate: CapacityEstimate): Status => {
    if (planned.has(estimate.id)) return 'not built';
    const runsToday = runsIn(estimate).every(isMeasured) && !estimate.isScaled;
    return runsToday ? 'runs today and measured' : 'modelled from a slope';
  };
  return capacityEstimates.map((estimate) => {
    const value = estimate.value(costOf);
    return { id: estimate.id, value, verdict: verdictOf(estimate, value), status: statusOf(estimate) };
  });
};

const row = ({ id, role, what, unit, formula }: CapacityEstimate, evaluated: EvaluatedEstimate | undefined): string => {
  const value = tables.figure(evaluated?.value ?? Number.NaN);
  return `| ${id} | ${role} | ${what} | ${value} ${unit} | ${formula} | ${evaluated?.verdict ?? ''} | ${evaluated?.status ?? ''} |`;
};

const markdown = (measured: readonly Measurement[]): string => {
  const evaluated = new Map(evaluate(measured).map((one) => [one.id, one]));
  return [
    '| estimate | role | cost | at the planned size | formula | budget | status |',
    '|---|---|---|---|---|---|---|',
    ...capacityEstimates.map((estimate) => row(estimate, evaluated.get(estimate.id))),
  ].join('\n');
};

/** `evaluate` computes all estimates, `runsIn` returns the runs in a formula, `markdown` formats the table. */
export const capacityModel = { evaluate, runsIn, markdown, runningPerEdge };
