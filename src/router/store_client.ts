/** The client of the platform's store, with the times that the router gives its calls. */
import type { Logger } from "../base/mod.ts";
import { PlatformStore } from "../platform/mod.ts";
import { type RouterSettings, textOf } from "./settings.ts";

/** The store answers in 4 ms; a connection that takes longer than this is a lost one. */
const STORE_CONNECT_MS = 500;
/** A call without an answer by then is taken as lost; calls of a slow store take 60 times 4 ms. */
const STORE_CALL_MS = 900;
/**
 * A watch is asked anew this often, in heartbeat intervals of servers: 1.6 s where they are 1.2 s.
 * So a connection that went silent is noticed within two of them, before a registration can lapse.
 */
const WATCH_WAIT_INTERVALS = 1.3;
/** An answer of a slow store takes 60 times 4 ms; a watch that takes longer is a silent one. */
const WATCH_SLACK_MS = 400;

/**
 * @param settings Address of the store, and how often servers write their registration.
 * @param log Where items are told of that can't be read.
 * @returns A client.
 */
export function createStore(
  { storeAddress, heartbeatMs }: RouterSettings,
  log: Logger,
): PlatformStore {
  return PlatformStore.create({
    address: textOf(storeAddress),
    connectMs: STORE_CONNECT_MS,
    callMs: STORE_CALL_MS,
    watchWaitMs: Math.round(WATCH_WAIT_INTERVALS * heartbeatMs),
    watchSlackMs: WATCH_SLACK_MS,
    onUnreadable: (item) =>
      log.error({ event: "store_item_unreadable", ...item }),
  });
}
