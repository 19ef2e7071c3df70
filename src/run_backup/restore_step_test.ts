import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type BackupState,
  type LostRun,
  nextRestoreStep,
  NoRestore,
} from "./restore_step.ts";

const LOST: LostRun = {
  isLost: true,
  isRestored: false,
  isBehindEventId: false,
  isClientGone: false,
  isQuarantined: false,
  leftMs: 1000,
  weightsVersion: 1,
  mayStartOnWeights: true,
};
const BACKUP: BackupState = {
  isSameProcess: true,
  isAvailable: true,
  isCompatible: true,
  weightsVersion: 1,
};

test("lost run continues from its backup", () => {
  assert.deepEqual(nextRestoreStep(LOST, BACKUP), { kind: "restore" });
  const hardlyInTime = { ...LOST, leftMs: 40 };
  assert.deepEqual(nextRestoreStep(hardlyInTime, BACKUP), { kind: "restore" });
});

// Guards against a second run of a request that may run once, against a copy that no longer exists or
// belongs to other weights, and against sends that nobody waits for.
test("run does not continue if any condition is missing", () => {
  const runs: [Partial<LostRun>, NoRestore][] = [
    [{ isLost: false }, NoRestore.notLost],
    [{ isRestored: true }, NoRestore.alreadyRestored],
    [{ isClientGone: true }, NoRestore.clientGone],
    [{ isBehindEventId: true }, NoRestore.behindEventId],
    [{ isQuarantined: true }, NoRestore.quarantined],
    [{ leftMs: 39 }, NoRestore.noTime],
    [{ weightsVersion: 2 }, NoRestore.otherWeights],
    [{ mayStartOnWeights: false }, NoRestore.weightsRetired],
  ];
  for (const [fields, reason] of runs) {
    const step = nextRestoreStep({ ...LOST, ...fields }, BACKUP);
    assert.deepEqual(step, { kind: "end", reason });
  }
  const states: [Partial<BackupState>, NoRestore][] = [
    [{ isSameProcess: false }, NoRestore.backupEnded],
    [{ isAvailable: false }, NoRestore.backupUnavailable],
    [{ isCompatible: false }, NoRestore.otherSoftware],
    [{ weightsVersion: 2 }, NoRestore.otherWeights],
    [{ weightsVersion: undefined }, NoRestore.otherWeights],
  ];
  for (const [fields, reason] of states) {
    const step = nextRestoreStep(LOST, { ...BACKUP, ...fields });
    assert.deepEqual(step, { kind: "end", reason });
  }
  const without = nextRestoreStep(LOST, undefined);
  assert.deepEqual(without, { kind: "end", reason: NoRestore.noBackup });
});
