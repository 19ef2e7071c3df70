/**
 * Tracks requests that were running on backend servers when these terminated, and quarantines those
 * that probably cause servers to terminate.
 */
export { hashRequest } from "./request_hash.ts";
export {
  CLEARED_AFTER_MS,
  MIN_SHARED_ENDS,
  type ServerEnd,
  SuspectTable,
  type Verdict,
} from "./suspect_table.ts";
export {
  SUSPECT_RECORD_KEY,
  SuspectRecord,
  type SuspectSource,
} from "./suspect_record.ts";
