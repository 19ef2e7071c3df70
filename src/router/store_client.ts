/** Creates the client of the platform's store, with the router's timeouts. */
import type { Logger } from "../base/mod.ts";
import { decodeValue, PlatformStore } from "../platform/mod.ts";
import { formatAddress, type RouterSettings } from "./settings.ts";

const EMPTY_VALUE = new Uint8Array();
/** Connect timeout; the store usually answers within 4 ms. */
const CONNECT_TIMEOUT_MS = 500;
/** Timeout of a call: a slow store takes 60 times the usual 4 ms. */
const CALL_TIMEOUT_MS = 900;
/**
 * Longest wait of a watch call, in heartbeat intervals of servers: 1.6 s for an interval of 1.2 s. A
 * dead connection is thus detected within two intervals, before a registration can lapse.
 */
const WATCH_WAIT_INTERVALS = 1.3;
/** Time beyond its wait after which a watch call times out: a slow store takes 60 times 4 ms. */
const WATCH_SLACK_MS = 400;

/**
 * @param settings Address of the store, and the heartbeat interval of servers.
 * @param log Log for items that can't be decoded.
 * @returns A client.
 */
export function createStore(
  { storeAddress, heartbeatMs }: Pick<
    RouterSettings,
    "storeAddress" | "heartbeatMs"
  >,
  log: Logger,
): PlatformStore {
  return PlatformStore.create({
    address: formatAddress(storeAddress),
    connectMs: CONNECT_TIMEOUT_MS,
    callMs: CALL_TIMEOUT_MS,
    watchWaitMs: Math.round(WATCH_WAIT_INTERVALS * heartbeatMs),
    watchSlackMs: WATCH_SLACK_MS,
    onUnreadable: ({ key, reason, isKept }) => {
      if (isKept && key !== undefined && isReportedAsMalformed(key)) return;
      log.error({ event: "store_item_unreadable", key, reason });
    },
  });
}

/** Whether the empty value of an unreadable item is reported by whom the key belongs to. */
function isReportedAsMalformed(key: string): boolean {
  return decodeValue(key, EMPTY_VALUE).isErr;
}
