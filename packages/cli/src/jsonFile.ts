/** Reading of JSON files that are named on the command line. */
import { readFileSync } from 'node:fs';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ValidationIssue } from '@martenworks/settings';

/** Returns the parsed value of the file, or an issue with its path if it cannot be read or is not JSON. */
export const readJson = (path: string): Result<unknown, ValidationIssue[]> => {
  try {
    return ok(JSON.parse(readFileSync(path, 'utf8')) as unknown);
  } catch (cause) {
    return err([{ path, message: String((cause as Error).message) }]);
  }
};
