/**
 * The test fleet: simulator, fault injection, invariant checks, capacity measurements and the handling of known
 * failures.
 */
export { fits } from './capacity/curveFit.js';
export type { Point } from './capacity/curveFit.js';
export { capacityEstimates, capacityModel } from './capacity/model.js';
export { plots } from './capacity/plot.js';
export { tables } from './capacity/table.js';
export type { Measurement } from './capacity/table.js';
export { keyOf, requestKinds, sampleWorkload } from './workload/sampleDeployments.js';
export type { SampleRequest } from './workload/sampleDeployments.js';
export { knownFailures } from './runner/knownFailures.js';
export type { TestResult } from './runner/knownFailures.js';
export { failureText } from './runner/failureText.js';
export { slowestTests } from './runner/slowestTests.js';
export { TestClaims } from './runner/testClaims.js';
export { testLength } from './runner/testLength.js';
export { InvariantChecker } from './invariants/invariantChecker.js';
export type { Call } from './workload/callSender.js';
export { SimDisk } from './simulator/simDisk.js';
export { SimFleet } from './simulator/simFleet.js';
export type { HttpReply } from './simulator/simFleet.js';
export { SimWorld } from './simulator/simWorld.js';
export type { SimMachine } from './simulator/simMachine.js';
export { stateViolations } from './invariants/stateInvariants.js';
export { FaultInjectionRun } from './faults/faultInjectionRun.js';
export { faultKinds, permanentLossKinds, deploymentSizes } from './faults/faultSchedule.js';
export type { FaultKind, PermanentLossKind, FaultSchedule } from './faults/faultSchedule.js';
export type { Run } from './replica/replicaRecords.js';
export { LocalFleet } from './processes/localFleet.js';
export { chunkedBodies } from './misbehaving/chunkedBodies.js';
export { MisbehavingClient } from './misbehaving/misbehavingClient.js';
export type { ClientScript } from './misbehaving/misbehavingClient.js';
export { processUsageOf } from './misbehaving/processUsage.js';
