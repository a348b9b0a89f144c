/** Response integrity: callers get exactly the output of one run, and rejections say when to retry. */
import { generatedText } from '../replica/generatedText.js';
import type { Run } from '../replica/replicaRecords.js';
import type { Call } from '../workload/callSender.js';
import { labelOf } from './observations.js';
import type { Evidence } from './observations.js';
import type { Violation } from './violation.js';

const statusesWithRetryAfter = new Set([429, 503]);

/** `runs` are the possible sources of the response; with an idempotency key they include the runs of other calls. */
const textViolations = (call: Call, runs: readonly Run[]): Violation[] => {
  const detail = labelOf(call);
  const textOf = (run: Run): string =>
    generatedText.fullText(call.request.prompt, run.weights, run.runId, call.request.maxTokens);
  const isPrefix = runs.some((run) => textOf(run).startsWith(call.text));
  if (call.outcome !== 'whole')
    return call.text === '' || isPrefix ? [] : [{ rule: 'skipped, repeated or spliced chunk', detail }];
  const finished = runs.filter((run) => run.isFinished);
  if (finished.length === 0)
    return [
      {
        rule: isPrefix ? 'wrong or truncated response looks complete' : 'complete response without a finished run',
        detail,
      },
    ];
  const isComplete = finished.some((run) => textOf(run) === call.text);
  return isComplete ? [] : [{ rule: 'wrong or truncated response looks complete', detail }];
};

const retryAfterViolations = (calls: readonly Call[]): Violation[] =>
  calls
    .filter((call) => call.outcome === 'denied' && statusesWithRetryAfter.has(call.status) && call.retryAfter === null)
    .map((call) => ({ rule: 'no Retry-After', detail: labelOf(call) }));

/** Checks the text of every response and the `Retry-After` header of rejections. */
export const responseViolations = (evidence: Evidence): Violation[] => {
  const { calls } = evidence.observations;
  const unkeyed = calls.filter((call) => call.idempotencyKey === null);
  const keyed = [...evidence.callsByIdempotencyKey().values()].flatMap((group) => {
    const runs = group.flatMap(evidence.runsOf);
    return group.flatMap((call) => textViolations(call, runs));
  });
  return [
    ...unkeyed.flatMap((call) => textViolations(call, evidence.runsOf(call))),
    ...keyed,
    ...retryAfterViolations(calls),
  ];
};
