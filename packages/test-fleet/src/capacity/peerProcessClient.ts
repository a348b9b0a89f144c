/** Starts and controls the child process that emulates the peers of the measured node; see `peerProcess.ts`. */
import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { PeerCommand, PeerReplies } from './peerCommands.js';

const heapMegabytes = 3_000;

/** A child process for the peers, so that their cost is not measured with the node's. */
export class PeerProcess {
  private readonly pendingReplies: ((reply: never) => void)[] = [];
  private readonly child: ChildProcess;

  constructor() {
    this.child = fork(fileURLToPath(new URL('./peerProcess.js', import.meta.url)), [], {
      execArgv: ['--expose-gc', `--max-old-space-size=${heapMegabytes}`],
    });
    this.child.on('message', (reply) => this.pendingReplies.shift()?.(reply as never));
  }

  /** Sends a command and resolves with its reply; replies arrive in the order of the commands. */
  readonly run = <Command extends PeerCommand>(command: Command): Promise<PeerReplies[Command['verb']]> =>
    new Promise((resolve) => {
      this.pendingReplies.push(resolve);
      this.child.send(command);
    });

  /** Kills the process. */
  readonly stop = (): void => void this.child.kill('SIGKILL');
}

/** Runs `work` with a peer process, and kills the process afterwards. */
export const withPeers = async <T>(work: (peers: PeerProcess) => Promise<T>): Promise<T> => {
  const peers = new PeerProcess();
  try {
    return await work(peers);
  } finally {
    peers.stop();
  }
};
