/** Draining: a replica that was told to leave gets no new requests once the notice has spread. */
import type { Evidence } from './observations.js';
import type { Violation } from './violation.js';

/** Milliseconds in which every gateway must know that a replica drains. */
const drainNoticeMs = 3_000;

/** Checks the start of every run against the drain notices. */
export const drainingViolations = (evidence: Evidence): Violation[] =>
  evidence.runs.flatMap((run): Violation[] => {
    const drained = evidence.observations.drainNotices.find(
      (one) => one.name === run.replica && one.incarnation === run.incarnation,
    );
    if (drained === undefined || run.startedAt <= drained.at + drainNoticeMs) return [];
    const lateMs = Math.round(run.startedAt - drained.at);
    return [
      { rule: 'a leaving replica got a request', detail: `${run.requestId} on ${run.replica} ${lateMs} ms after` },
    ];
  });
