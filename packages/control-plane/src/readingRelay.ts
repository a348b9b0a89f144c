import type { Clock, ReadingNews } from '@martenworks/core-types';

const bundleMs = 15;
const bundleLimit = 2_000;

/** Gathers for some milliseconds what fronts tell of long reads and passes it on in one frame: a note that began and ended within a bundle is not passed on at all. */
export class ReadingRelay {
  private readonly bundle = new Map<string, ReadingNews>();
  private readonly begun = new Set<string>();
  private isPlanned = false;

  constructor(
    private readonly clock: Clock,
    private readonly carry: (bundle: readonly ReadingNews[]) => void,
  ) {}

  readonly take = (news: ReadingNews): void => {
    if (news.tokens > 0) this.begun.add(news.id);
    if (news.tokens <= 0 && this.begun.has(news.id)) this.bundle.delete(news.id);
    else if (this.bundle.size < bundleLimit) this.bundle.set(news.id, news);
    if (this.isPlanned) return;
    this.isPlanned = true;
    this.clock.after(bundleMs, this.flush);
  };

  private readonly flush = (): void => {
    this.isPlanned = false;
    const told = [...this.bundle.values()];
    this.bundle.clear();
    this.begun.clear();
    if (told.length > 0) this.carry(told);
  };
}
