/** Quantiles for the summaries of commands. */

/** The value below which that share of the sorted values lies; 0 where there are none. */
export const quantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
