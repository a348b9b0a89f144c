import type { Script } from '@martenworks/model-check';

/** Shrunk schedules that broke a rule when they were found, with the injected fault that they need, if any. */

/** Two members have lost contact with different members, and both replace the lost one by the same joining node. */
export const oneNewcomerForTwoVoters: Script = {
  voters: 3,
  seed: 74,
  breakName: 'swap-any-seat',
  choices: [
    { do: 'crash', node: 'n0', keptShare: 1 },
    { do: 'cut', from: 'n1', to: 'n2', isNoticed: true },
    { do: 'upkeep', node: 'n1' },
    { do: 'upkeep', node: 'n2' },
    { do: 'restart', node: 'n0' },
    { do: 'join', node: 'n3' },
    { do: 'pass', ms: 2600 },
    { do: 'upkeep', node: 'n3' },
    { do: 'deliver', message: 'n3>n1:stateHeld', at: 0 },
    { do: 'deliver', message: 'n3>n0:stateHeld', at: 0 },
    { do: 'deliver', message: 'n0>n3:stateHeld:reply', at: 0 },
    { do: 'deliver', message: 'n3>n2:stateHeld', at: 0 },
    { do: 'deliver', message: 'n2>n3:stateHeld:reply', at: 0 },
    { do: 'deliver', message: 'n1>n3:stateHeld:reply', at: 0 },
    { do: 'deliver', message: 'n3>n0:statePage', at: 0 },
    { do: 'deliver', message: 'n0>n3:statePage:reply', at: 0 },
    { do: 'sync', node: 'n3' },
    { do: 'upkeep', node: 'n1' },
    { do: 'upkeep', node: 'n2' },
    { do: 'deliver', message: 'n2>n0:stateHeld', at: 0 },
    { do: 'deliver', message: 'n0>n2:stateHeld:reply', at: 0 },
    { do: 'deliver', message: 'n2>n3:stateHeld', at: 0 },
    { do: 'deliver', message: 'n1>n3:stateHeld', at: 0 },
    { do: 'deliver', message: 'n3>n2:stateHeld:reply', at: 0 },
    { do: 'deliver', message: 'n3>n1:stateHeld:reply', at: 0 },
    { do: 'deliver', message: 'n1>n0:stateHeld', at: 0 },
    { do: 'deliver', message: 'n0>n1:stateHeld:reply', at: 0 },
  ],
};

/** A change request based on the newest version reaches a member that has an older one. */
export const rejectionFromStaleState: Script = {
  voters: 3,
  seed: 13,
  breakName: 'read-alone',
  choices: [
    { do: 'order', node: 'n0', operator: 0 },
    { do: 'sync', node: 'n0' },
    { do: 'deliver', message: 'n0>n2:prepare', at: 0 },
    { do: 'sync', node: 'n2' },
    { do: 'deliver', message: 'n2>n0:prepare:reply', at: 0 },
    { do: 'sync', node: 'n0' },
    { do: 'deliver', message: 'n0>n1:accept', at: 0 },
    { do: 'sync', node: 'n1' },
    { do: 'deliver', message: 'n1>n0:accept:reply', at: 0 },
    { do: 'sync', node: 'n0' },
    { do: 'read', node: 'n0', operator: 1 },
    { do: 'order', node: 'n1', operator: 1 },
  ],
};

/** A lease holder is replaced as a voter while the new members grant its lease to another node. */
export const leaseAcrossSwap: Script = {
  voters: 3,
  seed: 54,
  breakName: 'grant-across-swaps',
  choices: [
    { do: 'nextTimer' },
    { do: 'pass', ms: 700 },
    { do: 'join', node: 'n4' },
    { do: 'pass', ms: 300 },
    { do: 'dutyTick', node: 'n0' },
    { do: 'deliver', message: 'n0>n2:leaseRequest', at: 0 },
    { do: 'pass', ms: 2600 },
    { do: 'leave', node: 'n2' },
    { do: 'sync', node: 'n0' },
    { do: 'sync', node: 'n2' },
  ],
};

/** A lease holder restarts, and after its lease has expired renews it at a voter that is writing a grant to another node. */
export const renewalDuringGrant: Script = {
  voters: 5,
  seed: 1078,
  breakName: null,
  choices: [
    { do: 'pass', ms: 700 },
    { do: 'pass', ms: 1300 },
    { do: 'dutyTick', node: 'n4' },
    { do: 'deliver', message: 'n4>n3:leaseRequest', at: 0 },
    { do: 'deliver', message: 'n4>n2:leaseRequest', at: 0 },
    { do: 'sync', node: 'n2' },
    { do: 'sync', node: 'n3' },
    { do: 'deliver', message: 'n4>n0:leaseRequest', at: 0 },
    { do: 'sync', node: 'n0' },
    { do: 'crash', node: 'n4', keptShare: 1 },
    { do: 'pass', ms: 1300 },
    { do: 'dutyTick', node: 'n0' },
    { do: 'pass', ms: 700 },
  ],
};
