/** Prints what is wrong with a file or with flags. */
import type { ValidationIssue } from '@martenworks/settings';

/** Writes one line for each issue to stderr: its path and what is wrong there. */
export const printIssues = (issues: readonly ValidationIssue[]): void => {
  for (const issue of issues) process.stderr.write(`${issue.path}: ${issue.message}\n`);
};
