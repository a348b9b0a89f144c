import { background, Repeating, pause } from '@martenworks/core-types';
import type { Ports } from '@martenworks/core-types';
import { peerConnections } from '@martenworks/peer-transport';
import type { PeerConnection, Handlers, Hello } from '@martenworks/peer-transport';
import type { Roster, RosterEntry } from './roster.js';

const firstWaitMs = 50;
const longestWaitMs = 1_000;
const refreshMs = 1_000;
const rosterPatienceMs = 800;
const enoughPostmasters = 3;

/** Milliseconds: how long one dial may take, and the longest wait between two. */
export interface DialPace {
  readonly patienceMs: number;
  readonly longestWaitMs: number;
}

const usualPace: DialPace = { patienceMs: 2_000, longestWaitMs };

interface Line {
  connection: PeerConnection | null;
  isStopped: boolean;
}

export class Lines {
  private readonly lines = new Map<string, Line>();
  private readonly refresher: Repeating;
  private isStopped = false;

  constructor(
    private readonly ports: Ports,
    private readonly own: () => Hello,
    private readonly seeds: readonly string[],
    private readonly roster: Roster,
    private readonly agreedAddresses: () => readonly string[],
    private readonly handlers: Handlers,
    private readonly pace: DialPace = usualPace,
  ) {
    this.refresher = new Repeating(ports.clock, () => refreshMs * (0.75 + 0.5 * ports.random.fraction()), this.refresh);
    this.align();
  }

  private readonly wanted = (): Set<string> => {
    const postmasters = new Set([
      ...this.agreedAddresses(),
      ...this.roster.neighbours('postmaster').map((hello) => hello.address),
    ]);
    const livePostmasters = this.open().filter((connection) => connection.neighbour?.role === 'postmaster').length;
    const addresses = livePostmasters >= enoughPostmasters ? postmasters : new Set([...postmasters, ...this.seeds]);
    addresses.delete(this.own().address);
    return addresses;
  };

  readonly align = (): void => {
    if (this.isStopped) return;
    const wanted = this.wanted();
    for (const address of wanted) if (!this.lines.has(address)) this.start(address);
    for (const [address, line] of this.lines) {
      if (wanted.has(address)) continue;
      line.isStopped = true;
      line.connection?.close();
      this.lines.delete(address);
    }
  };

  private readonly start = (address: string): void => {
    const line: Line = { connection: null, isStopped: false };
    this.lines.set(address, line);
    background.run('keep a peer connection', this.hold(address, line));
  };

  private readonly hold = async (address: string, line: Line): Promise<void> => {
    const { clock, random, net, log } = this.ports;
    let waitMs = firstWaitMs;
    while (!line.isStopped && !this.isStopped) {
      let hangUp = (): void => {};
      const ended = new Promise<void>((end) => (hangUp = end));
      const dialed = await peerConnections.dial(
        net,
        clock,
        log,
        this.own(),
        address,
        {
          ...this.handlers,
          left: (connection) => {
            this.handlers.left(connection);
            hangUp();
          },
        },
        this.pace.patienceMs,
      );
      if (dialed.isOk()) {
        const connection = dialed.value;
        if (line.isStopped || this.isStopped) connection.close();
        line.connection = connection;
        if (connection.neighbour !== null) this.roster.heard(connection.neighbour);
        background.run('learn the members from a peer', this.learnFrom(connection));
        const openedAt = clock.now();
        await ended;
        line.connection = null;
        if (clock.now() - openedAt > this.pace.longestWaitMs) waitMs = firstWaitMs;
      }
      if (line.isStopped || this.isStopped) return;
      await pause.for(clock, waitMs * (0.5 + random.fraction()));
      waitMs = Math.min(waitMs * 2, this.pace.longestWaitMs);
    }
  };

  private readonly learnFrom = async (connection: PeerConnection): Promise<void> => {
    const told = await connection.ask('roster', this.roster.entries(), rosterPatienceMs);
    if (told.isOk()) this.roster.merge(told.value as RosterEntry[]);
    if (connection.neighbour !== null && told.isOk()) this.roster.heard(connection.neighbour);
    this.align();
  };

  private readonly refresh = (): void => {
    const live = this.open();
    const connection = live[Math.floor(this.ports.random.fraction() * live.length)];
    if (connection !== undefined) background.run('learn the members from a peer', this.learnFrom(connection));
    else this.align();
  };

  readonly open = (): PeerConnection[] =>
    [...this.lines.values()].flatMap((line) => (line.connection?.isLive() ? [line.connection] : []));

  readonly to = (incarnation: string): PeerConnection | undefined =>
    this.open().find((connection) => connection.neighbour?.incarnation === incarnation);

  readonly stop = (): void => {
    this.isStopped = true;
    this.refresher.stop();
    for (const line of this.lines.values()) line.connection?.close();
  };
}
