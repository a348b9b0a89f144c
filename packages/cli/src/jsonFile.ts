/** Reads a JSON file that an operator named. */
import { readFileSync } from 'node:fs';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ValidationIssue } from '@martenworks/settings';

/** The file's value; the issue names the file when it cannot be read or is not JSON. */
export const readJson = (path: string): Result<unknown, ValidationIssue[]> => {
  try {
    return ok(JSON.parse(readFileSync(path, 'utf8')) as unknown);
  } catch (cause) {
    return err([{ path, message: String((cause as Error).message) }]);
  }
};
