/** Probes whether a backend server accepts connections. */
import type { Clock } from "../base/mod.ts";
import type { Server } from "./server.ts";
import { tryConnect } from "./try_connect.ts";

/**
 * Opens and closes a connection to a server that is marked down. If this fails, the server stays down
 * and is probed again later. A separate probe avoids spending a request that may run only once.
 *
 * @param server The server to probe.
 * @param clock Source of the current time.
 * @returns Whether the server accepted the connection.
 */
export async function probe(server: Server, clock: Clock): Promise<boolean> {
  // Schedules the next probe first, whatever the result of this one.
  server.health.unreachable(clock.nowMs());
  const outcome = await tryConnect(server.entry.address);
  switch (outcome) {
    case "reached":
      server.health.reached();
      return true;
    case "refused":
      server.health.refusedConnection(clock.nowMs());
      return false;
    case "unclear":
      return false;
  }
}
