/** Failures of the development checks, each with a `code` that does not change between releases. */

/** The settings file of a check cannot be read, is not JSON, or does not have the expected form. */
export class CheckSettingsError extends Error {
  /** Stable name of this failure. */
  readonly code = 'CHECK_SETTINGS_INVALID';

  /**
   * @param file name of the settings file
   * @param reason what is wrong with it
   */
  constructor(
    readonly file: string,
    reason: string,
  ) {
    super(`${file}: ${reason}`);
    this.name = 'CheckSettingsError';
  }
}
