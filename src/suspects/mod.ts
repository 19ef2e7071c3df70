/**
 * Tracks requests, and parts of their prompts, that were running on backend servers when these
 * terminated, and quarantines those that probably cause servers to terminate.
 */
export {
  type Crash,
  MIN_SHARED_CRASHES,
  PartTable,
  type PartVerdict,
} from "./part_table.ts";
export type { ServerEnd, Suspect } from "./suspect.ts";
export { hashRequest } from "./request_hash.ts";
export {
  CLEARED_AFTER_MS,
  MIN_SHARED_ENDS,
  SuspectTable,
  type Verdict,
} from "./suspect_table.ts";
export {
  PART_RECORD_KEY,
  SUSPECT_RECORD_KEY,
  SuspectRecord,
  type SuspectSource,
} from "./suspect_record.ts";
