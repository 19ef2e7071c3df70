/** Requests under which backend servers ended, and when one is run no more for a while. */
export {
  SERIOUS_ENDS,
  type ServerEnd,
  SuspectTable,
  type Verdict,
} from "./suspect_table.ts";
export {
  SUSPECT_RECORD_KEY,
  SuspectRecord,
  type SuspectSource,
} from "./suspect_record.ts";
