/** What a weights roll reads from the local copy of the store. */
import { isStart } from "../store/position.ts";
import type { StoreMirror } from "./mirror.ts";
import { ORDER_RECORD_PREFIX } from "./order_records.ts";
import { PUBLISH_TIMES_KEY } from "./publish_times_record.ts";
import { LAST_ROLL_KEY, ROLL_LEASE_KEY } from "./roll_lease.ts";
import type { StoreContact } from "./store_contact.ts";
import type { WeightsRollOptions } from "./weights_roll.ts";

/** Options of a weights roll that are read from the store. */
export type RollRecords = Pick<
  WeightsRollOptions,
  | "isLeaseHeld"
  | "knownEra"
  | "lastHolder"
  | "orderRecords"
  | "publishTimesRecord"
>;

/**
 * @param mirror The local copy of the store.
 * @param contact While the store doesn't answer, the lease counts as held.
 * @returns The queries.
 */
export function rollRecords(
  mirror: StoreMirror,
  contact: Pick<StoreContact, "connected">,
): RollRecords {
  return {
    isLeaseHeld: () =>
      isStart(mirror.position) || !contact.connected ||
      mirror.entry(ROLL_LEASE_KEY) !== undefined,
    knownEra: () => mirror.position.era,
    lastHolder: () => mirror.entry(LAST_ROLL_KEY),
    orderRecords: () => mirror.entries(ORDER_RECORD_PREFIX),
    publishTimesRecord: () => mirror.entry(PUBLISH_TIMES_KEY),
  };
}
