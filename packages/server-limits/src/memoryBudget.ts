/** One bound for the bytes that all requests of a process hold, with eviction of the oldest unfinished request. */

/** Frees what a reservation stands for; called when its bytes are needed for another one. */
type Evict = () => void;

/**
 * The bytes that one request holds. It may be evicted until it is pinned: its request is then running and can no longer
 * be refused.
 */
export class Reservation {
  private size = 0;
  private isPinned = false;
  private isReleased = false;

  constructor(
    private readonly budget: MemoryBudget,
    private readonly onEvict: Evict,
  ) {}

  /** The bytes that are reserved. */
  readonly bytes = (): number => this.size;

  /** Whether the reservation may be evicted. */
  readonly isEvictable = (): boolean => !this.isPinned && !this.isReleased;

  /**
   * Reserves more bytes, if need be by evicting older reservations. False if there is no room or the reservation was
   * itself the one to be evicted; it is released then.
   */
  readonly grow = (bytes: number): boolean => {
    if (this.isReleased) return false;
    this.size += bytes;
    if (this.budget.admit(this, bytes)) return true;
    this.release();
    return false;
  };

  /**
   * Counts bytes that the request takes in any case, such as those of a response that has started. Older reservations may
   * be evicted for them, but this one isn't.
   */
  readonly charge = (bytes: number): void => {
    if (this.isReleased) return;
    this.size += bytes;
    this.budget.admit(this, bytes);
  };

  /** Gives bytes back. */
  readonly shrink = (bytes: number): void => {
    if (this.isReleased) return;
    this.size -= bytes;
    this.budget.giveBack(bytes);
  };

  /** Protects the reservation from eviction, or lifts that protection. */
  readonly pin = (isPinned: boolean): void => {
    this.isPinned = isPinned;
  };

  /** Gives all bytes back; does nothing when repeated. */
  readonly release = (): void => {
    if (this.isReleased) return;
    this.isReleased = true;
    this.budget.remove(this, this.size);
    this.size = 0;
  };

  /** Releases the reservation and ends what it stands for. */
  readonly evict = (): void => {
    this.release();
    this.onEvict();
  };
}

/** The reservations of one process. */
export class MemoryBudget {
  /** In the order of their creation. */
  private readonly reservations = new Set<Reservation>();
  private usedBytes = 0;
  private evictionCount = 0;

  constructor(
    /** The bytes that all reservations may hold together. */
    readonly limitBytes: number,
  ) {}

  /** Opens an empty reservation; `onEvict` must end what it stands for. */
  readonly open = (onEvict: Evict): Reservation => {
    const reservation = new Reservation(this, onEvict);
    this.reservations.add(reservation);
    return reservation;
  };

  /** Reserved bytes, open reservations and evictions since the start. */
  readonly status = (): { usedBytes: number; limitBytes: number; requests: number; evictions: number } => ({
    usedBytes: this.usedBytes,
    limitBytes: this.limitBytes,
    requests: this.reservations.size,
    evictions: this.evictionCount,
  });

  /**
   * Counts bytes that a reservation has added to itself; false if there is no room for them. A reservation that is alone
   * always has room: limits of single requests are the business of their readers.
   */
  readonly admit = (reservation: Reservation, bytes: number): boolean => {
    this.usedBytes += bytes;
    while (this.usedBytes > this.limitBytes && this.usedBytes > reservation.bytes()) {
      const oldest = this.oldestEvictable();
      if (oldest === null) return false;
      this.evictionCount += 1;
      if (oldest === reservation) return false;
      oldest.evict();
    }
    return true;
  };

  /** Counts bytes that a reservation no longer holds. */
  readonly giveBack = (bytes: number): void => {
    this.usedBytes -= bytes;
  };

  /** Forgets a reservation and the bytes that it still held. */
  readonly remove = (reservation: Reservation, bytes: number): void => {
    this.usedBytes -= bytes;
    this.reservations.delete(reservation);
  };

  private readonly oldestEvictable = (): Reservation | null => {
    for (const reservation of this.reservations) if (reservation.isEvictable()) return reservation;
    return null;
  };
}
