/** Requests under which backend servers ended, and when one is run no more for a while. */
export { hashRequest } from "./request_hash.ts";
export {
  SERIOUS_ENDS,
  type ServerEnd,
  SETTLED_MS,
  SuspectTable,
  type Verdict,
} from "./suspect_table.ts";
export {
  SUSPECT_RECORD_KEY,
  SuspectRecord,
  type SuspectSource,
} from "./suspect_record.ts";
