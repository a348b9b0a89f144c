/** Quantiles for the summaries of commands. */

/** Returns the value below which the given share of the sorted values lies; 0 for an empty list. */
export const quantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
