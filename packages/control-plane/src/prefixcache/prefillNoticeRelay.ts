/** Relays edges' notices of long prompts that a replica is reading, in bundles. */
import type { Clock, PrefillNotice } from '@martenworks/core-types';

const bundleMs = 15;
const bundleLimit = 2_000;

/** Gathers for some milliseconds what edges tell of long reads and passes it on in one frame: a note that began and ended within a bundle is not passed on at all. */
export class PrefillNoticeRelay {
  private readonly bundle = new Map<string, PrefillNotice>();
  private readonly begun = new Set<string>();
  private isPlanned = false;

  constructor(
    private readonly clock: Clock,
    private readonly send: (bundle: readonly PrefillNotice[]) => void,
  ) {}

  /** Adds an edge's notice to the bundle that is sent within 15 ms; notices beyond 2,000 are dropped. */
  readonly add = (update: PrefillNotice): void => {
    if (update.tokens > 0) this.begun.add(update.id);
    if (update.tokens <= 0 && this.begun.has(update.id)) this.bundle.delete(update.id);
    else if (this.bundle.size < bundleLimit) this.bundle.set(update.id, update);
    if (this.isPlanned) return;
    this.isPlanned = true;
    this.clock.after(bundleMs, this.flush);
  };

  private readonly flush = (): void => {
    this.isPlanned = false;
    const notices = [...this.bundle.values()];
    this.bundle.clear();
    this.begun.clear();
    if (notices.length > 0) this.send(notices);
  };
}
