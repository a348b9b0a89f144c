/** The check of fencing tokens at the receiver of a lease holder's messages. */

/** Rejects the messages of former lease holders: for each duty, those with a lower token than the highest seen. */
export class FencingTokenCheck {
  private readonly highest = new Map<string, number>();

  /** Returns whether a message with this token is accepted, and if so records the token. */
  readonly accepts = (duty: string, fence: number): boolean => {
    if (fence < (this.highest.get(duty) ?? 0)) return false;
    this.highest.set(duty, fence);
    return true;
  };
}
