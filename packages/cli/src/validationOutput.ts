/** Output of validation issues. */
import type { ValidationIssue } from '@martenworks/settings';

/** Writes one line per issue to stderr: its path and message. */
export const printIssues = (issues: readonly ValidationIssue[]): void => {
  for (const issue of issues) process.stderr.write(`${issue.path}: ${issue.message}\n`);
};
