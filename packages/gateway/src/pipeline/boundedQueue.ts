import { Heap } from 'heap-js';

interface Slot<T> {
  readonly item: T;
  readonly urgency: number;
  readonly order: number;
}

const bySlot = <T>(a: Slot<T>, b: Slot<T>): number => a.urgency - b.urgency || a.order - b.order;

export class Pipe<T> {
  private readonly heap = new Heap<Slot<T>>(bySlot);
  private readonly slots = new Map<T, Slot<T>>();
  private order = 0;

  constructor(private readonly limit: number) {}

  readonly put = (item: T, urgency: number): T | null => {
    const slot = { item, urgency, order: ++this.order };
    this.heap.push(slot);
    this.slots.set(item, slot);
    if (this.slots.size <= this.limit) return null;
    let worst: Slot<T> = slot;
    for (const held of this.slots.values()) if (bySlot(held, worst) > 0) worst = held;
    this.remove(worst.item);
    return worst.item;
  };

  readonly take = (): T | undefined => {
    const slot = this.heap.pop();
    if (slot !== undefined) this.slots.delete(slot.item);
    return slot?.item;
  };

  private readonly remove = (item: T): void => {
    const slot = this.slots.get(item);
    if (slot === undefined) return;
    this.slots.delete(item);
    this.heap.remove(slot, (a, b) => a === b);
  };

  readonly size = (): number => this.slots.size;
}

interface Line<T> {
  readonly rank: number;
  readonly items: Map<T, number>;
  served: number;
  grants: number;
  ratePerMs: number;
  ratedAt: number;
}

const elderTurn = 8;
const rateWindowMs = 2_000;
const firstWindowMs = 500;
const leastForecast = 2;

export class Tray<T> {
  private readonly lines = new Map<string, Line<T>>();
  private readonly lineOf = new Map<T, Line<T>>();
  private turn = 0;

  constructor(private readonly limit: number) {}

  private readonly active = (): Line<T>[] => [...this.lines.values()].filter((line) => line.items.size > 0);

  private readonly lineFor = (name: string, rank: number, now: number): Line<T> => {
    const held = this.lines.get(name);
    if (held !== undefined && held.rank === rank) return held;
    const line: Line<T> = { rank, items: new Map(), served: 0, grants: 0, ratePerMs: 0, ratedAt: now };
    this.lines.set(name, line);
    return line;
  };

  readonly put = (name: string, rank: number, item: T, now: number): T | null => {
    const line = this.lineFor(name, rank, now);
    if (line.items.size === 0) {
      const rivals = this.active().filter((other) => other.rank === rank);
      if (rivals.length > 0) line.served = Math.max(line.served, Math.min(...rivals.map((other) => other.served)));
    }
    line.items.set(item, now);
    this.lineOf.set(item, line);
    if (this.lineOf.size <= this.limit) return null;
    const worst = this.active().sort((a, b) => b.rank - a.rank || b.items.size - a.items.size)[0] as Line<T>;
    const out = [...worst.items.keys()].at(-1) as T;
    this.remove(out);
    return out;
  };

  readonly heads = (): T[] => {
    const oldest = (line: Line<T>): number => line.items.values().next().value as number;
    const byRank = (a: Line<T>, b: Line<T>): number => a.rank - b.rank || a.served - b.served || oldest(a) - oldest(b);
    const byAge = (a: Line<T>, b: Line<T>): number => oldest(a) - oldest(b) || byRank(a, b);
    return this.active()
      .sort(this.turn % elderTurn === elderTurn - 1 ? byAge : byRank)
      .map((line) => line.items.keys().next().value as T);
  };

  readonly grant = (item: T, now: number): void => {
    const line = this.lineOf.get(item);
    if (line === undefined) return;
    this.remove(item);
    this.turn += 1;
    line.served += 1;
    line.grants += 1;
    this.rate(line, now);
  };

  private readonly rate = (line: Line<T>, now: number): void => {
    const spanMs = now - line.ratedAt;
    if (spanMs < (line.ratePerMs === 0 ? firstWindowMs : rateWindowMs)) return;
    const seen = line.grants / spanMs;
    line.ratePerMs = line.ratePerMs === 0 ? seen : (line.ratePerMs + seen) / 2;
    line.grants = 0;
    line.ratedAt = now;
  };

  readonly forecastMs = (name: string, now: number): number => {
    const line = this.lines.get(name);
    if (line === undefined || line.items.size < leastForecast) return 0;
    this.rate(line, now);
    return line.ratePerMs === 0 ? 0 : line.items.size / line.ratePerMs;
  };

  readonly hopeless = (now: number, deadlineOf: (item: T) => number): T[] => {
    const found: T[] = [];
    for (const line of this.active()) {
      this.rate(line, now);
      if (line.ratePerMs === 0) continue;
      let ahead = 0;
      for (const item of line.items.keys()) {
        if (ahead >= leastForecast && now + ahead / line.ratePerMs > deadlineOf(item)) found.push(item);
        else ahead += 1;
      }
    }
    return found;
  };

  readonly remove = (item: T): boolean => {
    const line = this.lineOf.get(item);
    if (line === undefined) return false;
    this.lineOf.delete(item);
    return line.items.delete(item);
  };

  readonly items = (): T[] => [...this.lineOf.keys()];

  readonly size = (): number => this.lineOf.size;
}

export class Stage<T> {
  private readonly pipe: Pipe<T>;
  private isRunning = false;

  constructor(
    limit: number,
    private readonly urgencyOf: (item: T) => number,
    private readonly work: (item: T) => void,
    private readonly displaced: (item: T) => void,
  ) {
    this.pipe = new Pipe(limit);
  }

  readonly enter = (item: T): void => {
    const out = this.pipe.put(item, this.urgencyOf(item));
    if (out !== null) this.displaced(out);
    if (this.isRunning) return;
    this.isRunning = true;
    queueMicrotask(this.drain);
  };

  private readonly drain = (): void => {
    for (let item = this.pipe.take(); item !== undefined; item = this.pipe.take()) this.work(item);
    this.isRunning = false;
  };

  readonly size = (): number => this.pipe.size();
}
