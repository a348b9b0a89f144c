/** Relays edges' notices of long prefills on replicas, in batches. */
import type { Clock, PrefillNotice } from '@martenworks/core-types';

const batchDelayMs = 15;
const maxBatchSize = 2_000;

/**
 * Collects notices for 15 ms and sends them in one message. A prefill that starts and ends within a batch is left out.
 */
export class PrefillNoticeRelay {
  private readonly batch = new Map<string, PrefillNotice>();
  private readonly startedIds = new Set<string>();
  private isScheduled = false;

  constructor(
    private readonly clock: Clock,
    private readonly send: (batch: readonly PrefillNotice[]) => void,
  ) {}

  /** Adds an edge's notice to the batch that is sent within 15 ms; notices beyond 2,000 are dropped. */
  readonly add = (notice: PrefillNotice): void => {
    if (notice.tokens > 0) this.startedIds.add(notice.id);
    if (notice.tokens <= 0 && this.startedIds.has(notice.id)) this.batch.delete(notice.id);
    else if (this.batch.size < maxBatchSize) this.batch.set(notice.id, notice);
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.clock.after(batchDelayMs, this.flush);
  };

  private readonly flush = (): void => {
    this.isScheduled = false;
    const notices = [...this.batch.values()];
    this.batch.clear();
    this.startedIds.clear();
    if (notices.length > 0) this.send(notices);
  };
}
