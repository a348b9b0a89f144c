/** Errors of the development checks, each with a `code` that does not change between releases. */

/** The settings file of a check is not JSON or does not match its schema. */
export class CheckSettingsError extends Error {
  /** Stable identifier of this error. */
  readonly code = 'CHECK_SETTINGS_INVALID';

  /**
   * @param file name of the settings file
   * @param reason what is wrong with its content
   */
  constructor(
    readonly file: string,
    reason: string,
  ) {
    super(`${file}: ${reason}`);
    this.name = 'CheckSettingsError';
  }
}
