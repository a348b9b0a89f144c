/** The check of fencing tokens where work of a lease's holder arrives. */

/** Admits a duty's messages in the order of their fencing tokens: none below the highest seen. */
export class FencingTokenCheck {
  private readonly highest = new Map<string, number>();

  /** Whether a message under this token is taken; the token then counts as seen. */
  readonly accepts = (duty: string, fence: number): boolean => {
    if (fence < (this.highest.get(duty) ?? 0)) return false;
    this.highest.set(duty, fence);
    return true;
  };
}
