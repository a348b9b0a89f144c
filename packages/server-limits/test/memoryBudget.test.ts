import { expect } from 'chai';
import { BodyBuffer, MemoryBudget, jsonCost, processLimits } from '@martenworks/server-limits';

const open = (budget: MemoryBudget, name: string, evicted: string[]) => budget.open(() => evicted.push(name));

describe('MemoryBudget', () => {
  it('given reservations that fill it, when another one grows, then the oldest one that is not pinned is evicted', () => {
    const evicted: string[] = [];
    const budget = new MemoryBudget(100);
    const [pinned, oldest, newer, growing] = ['pinned', 'oldest', 'newer', 'growing'].map((name) =>
      open(budget, name, evicted),
    );
    for (const one of [pinned, oldest, newer]) expect(one?.grow(30)).to.equal(true);
    pinned?.pin(true);
    expect(growing?.grow(30)).to.equal(true);
    expect(evicted).to.deep.equal(['oldest']);
    expect(budget.status()).to.deep.equal({ usedBytes: 90, limitBytes: 100, requests: 3, evictions: 1 });
  });

  it('given pinned reservations that fill it, when another one grows, then it is refused and takes nothing', () => {
    const evicted: string[] = [];
    const budget = new MemoryBudget(100);
    const pinned = open(budget, 'pinned', evicted);
    pinned.grow(90);
    pinned.pin(true);
    expect(open(budget, 'late', evicted).grow(20)).to.equal(false);
    expect([evicted, budget.status().usedBytes]).to.deep.equal([[], 90]);
  });

  it('given a reservation that is alone, when it grows beyond the limit, then it has room', () => {
    const budget = new MemoryBudget(100);
    expect(open(budget, 'alone', []).grow(500)).to.equal(true);
  });

  it('given a charge beyond the limit, when only its own reservation is left, then it is counted and nothing is refused', () => {
    const evicted: string[] = [];
    const budget = new MemoryBudget(100);
    const waiting = open(budget, 'waiting', evicted);
    const running = open(budget, 'running', evicted);
    waiting.grow(50);
    running.grow(50);
    running.pin(true);
    running.charge(40);
    expect([evicted, budget.status().usedBytes]).to.deep.equal([['waiting'], 90]);
    running.shrink(40);
    running.release();
    running.release();
    expect(budget.status().usedBytes).to.equal(0);
  });
});

describe('BodyBuffer', () => {
  it('given many tiny chunks, when they are collected, then the reservation is near their bytes and the body is whole', () => {
    const budget = new MemoryBudget(10_000_000);
    const reservation = budget.open(() => {});
    const buffer = new BodyBuffer(reservation);
    let added = 0;
    for (let at = 0; at < 200_000; at += 1) if (buffer.add(Uint8Array.of(at % 251))) added += 1;
    expect(added).to.equal(200_000);
    expect(reservation.bytes()).to.be.within(200_000, 300_000);
    const body = buffer.take();
    expect(body.length).to.equal(200_000);
    expect(body.every((byte, at) => byte === at % 251)).to.equal(true);
    expect(reservation.bytes()).to.equal(200_000);
  });

  it('given no room for a chunk, when it is added, then the buffer refuses it', () => {
    const budget = new MemoryBudget(8_192);
    const other = budget.open(() => {});
    other.grow(8_000);
    other.pin(true);
    expect(new BodyBuffer(budget.open(() => {})).add(new Uint8Array(1_000))).to.equal(false);
  });
});

describe('processLimits', () => {
  it('given a machine of the users, when limits are derived, then one body of the limit, operators and callers have room', () => {
    const limits = processLimits.of({ memoryMb: 350, openFiles: 4_100 });
    expect(limits).to.deep.equal({ bufferBytes: 84_410_368, callerConnections: 2_255, operatorConnections: 410 });
  });

  it('given little memory, when limits are derived, then connections are bounded by it and a body of 4 MiB has room', () => {
    const limits = processLimits.of({ memoryMb: 16, openFiles: 1_000_000 });
    expect(limits).to.deep.equal({ bufferBytes: 8_388_608, callerConnections: 16, operatorConnections: 16 });
  });
});

describe('jsonCost', () => {
  it('given nested arrays, when their cost is estimated, then it is a multiple of the text', () => {
    const text = new TextEncoder().encode(`[${'[],'.repeat(1_000)}[]]`);
    expect(jsonCost.of(text)).to.be.above(text.length * 20);
  });
});
