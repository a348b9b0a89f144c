/** Draining: a draining replica gets no new requests once the drain notice has propagated. */
import type { Evidence } from './observations.js';
import type { Violation } from './violation.js';

/** Time within which every gateway must know that a replica is draining. */
const drainNoticeMs = 3_000;

/** Checks the start of every run against the drain notices. */
export const drainingViolations = (evidence: Evidence): Violation[] =>
  evidence.runs.flatMap((run): Violation[] => {
    const notice = evidence.observations.drainNotices.find(
      (one) => one.name === run.replica && one.incarnation === run.incarnation,
    );
    if (notice === undefined || run.startedAt <= notice.at + drainNoticeMs) return [];
    const lateMs = Math.round(run.startedAt - notice.at);
    return [
      { rule: 'a draining replica got a request', detail: `${run.requestId} on ${run.replica} ${lateMs} ms after` },
    ];
  });
