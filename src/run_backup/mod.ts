/** Decides which engine holds the backup of a run, and whether a lost run continues from it. */
export {
  type BackupChoice,
  type BackupEngine,
  chooseBackup,
} from "./choose_backup.ts";
export {
  type BackupState,
  type LostRun,
  nextRestoreStep,
  NoRestore,
  type RestoreStep,
} from "./restore_step.ts";
