import { Heap } from 'heap-js';

interface Slot<T> {
  readonly line: string;
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
    const slot = { line: '', item, urgency, order: (this.order += 1) };
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

export class Tray<T> {
  private readonly heaps = new Map<string, Heap<Slot<T>>>();
  private readonly slots = new Map<T, Slot<T>>();
  private order = 0;

  constructor(private readonly limit: number) {}

  readonly put = (line: string, item: T, urgency: number): T | null => {
    const slot: Slot<T> = { line, item, urgency, order: (this.order += 1) };
    const heap = this.heaps.get(line) ?? new Heap<Slot<T>>(bySlot);
    this.heaps.set(line, heap);
    heap.push(slot);
    this.slots.set(item, slot);
    if (this.slots.size <= this.limit) return null;
    let worst = slot;
    for (const held of this.slots.values()) if (bySlot(held, worst) > 0) worst = held;
    this.remove(worst.item);
    return worst.item;
  };

  readonly heads = (): T[] =>
    [...this.heaps.values()]
      .flatMap((heap) => heap.peek() ?? [])
      .sort(bySlot)
      .map((slot) => slot.item);

  readonly remove = (item: T): boolean => {
    const slot = this.slots.get(item);
    if (slot === undefined) return false;
    this.slots.delete(item);
    const heap = this.heaps.get(slot.line);
    if (heap === undefined) return false;
    if (heap.peek() === slot) heap.pop();
    else heap.remove(slot, (a, b) => a === b);
    if (heap.size() === 0) this.heaps.delete(slot.line);
    return true;
  };

  readonly size = (): number => this.slots.size;
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
