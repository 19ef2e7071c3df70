/** Decides whether a lost run continues from its backup. */

/** Why a run does not continue from its backup. */
export const NoRestore = {
  noBackup: "no_backup",
  /** The connection did not break, and the engine is not known to have ended: the run may go on. */
  notLost: "not_lost",
  /** The run itself continued from a backup. */
  alreadyRestored: "already_restored",
  /** The client has received events behind the last id, which the run would repeat. */
  behindEventId: "behind_event_id",
  clientGone: "client_gone",
  noTime: "no_time",
  quarantined: "quarantined",
  /** The engine with the backup has restarted or left since, so that the copy is gone. */
  backupEnded: "backup_ended",
  backupUnavailable: "backup_unavailable",
  /** The engine with the backup has loaded other weights since. */
  otherWeights: "other_weights",
  /** The weights were replaced too long ago to start an answer. */
  weightsRetired: "weights_retired",
  otherSoftware: "other_software",
  /** The engine with the backup takes a limited rate of requests and has reached it. */
  overRate: "over_rate",
  /** The resend budget is used up. */
  noBudget: "no_budget",
} as const;

/** One of {@link NoRestore}. */
export type NoRestore = typeof NoRestore[keyof typeof NoRestore];

/** A run and its request, after the run's connection was closed. */
export interface LostRun {
  /** The connection broke, or the engine has ended. */
  isLost: boolean;
  /** The run continued from a backup; a request is restored at most once. */
  isRestored: boolean;
  /** The client has received events without an id after the last one with an id. */
  isBehindEventId: boolean;
  isClientGone: boolean;
  /** The request, or a part of its prompt, is in quarantine. */
  isQuarantined: boolean;
  /** Time until the request's deadline. */
  leftMs: number;
  /** Version of the weights with which the run began. */
  weightsVersion?: number;
  /** Whether answers may still start on these weights. */
  mayStartOnWeights: boolean;
}

/** State of the engine that holds the backup. */
export interface BackupState {
  /** The process that received the copy is still registered. */
  isSameProcess: boolean;
  isAvailable: boolean;
  /** Its software can continue what the run's engine has written. */
  isCompatible: boolean;
  weightsVersion?: number;
}

/** What to do with a lost run. */
export type RestoreStep =
  /** Send the request to the engine with the backup. */
  | { kind: "restore" }
  /** The request ends as it does without a backup. */
  | { kind: "end"; reason: NoRestore };

/** A request with less time left is not sent again. */
const MIN_LEFT_MS = 40;

/**
 * @param run The run and its request.
 * @param backup The engine that holds the backup; undefined: none was asked for.
 * @returns Whether the run continues from its backup.
 */
export function nextRestoreStep(
  run: LostRun,
  backup: BackupState | undefined,
): RestoreStep {
  const reason = refusalOf(run) ?? backupRefusalOf(run, backup);
  return reason ? { kind: "end", reason } : { kind: "restore" };
}

function refusalOf(run: LostRun): NoRestore | undefined {
  if (run.isRestored) return NoRestore.alreadyRestored;
  if (!run.isLost) return NoRestore.notLost;
  if (run.isClientGone) return NoRestore.clientGone;
  if (run.isBehindEventId) return NoRestore.behindEventId;
  if (run.leftMs < MIN_LEFT_MS) return NoRestore.noTime;
  return run.isQuarantined ? NoRestore.quarantined : undefined;
}

function backupRefusalOf(
  { weightsVersion, mayStartOnWeights }: LostRun,
  backup: BackupState | undefined,
): NoRestore | undefined {
  if (!backup) return NoRestore.noBackup;
  if (!backup.isSameProcess) return NoRestore.backupEnded;
  if (!backup.isAvailable) return NoRestore.backupUnavailable;
  if (backup.weightsVersion !== weightsVersion) return NoRestore.otherWeights;
  if (!mayStartOnWeights) return NoRestore.weightsRetired;
  return backup.isCompatible ? undefined : NoRestore.otherSoftware;
}
