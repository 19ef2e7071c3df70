/** Probes whether a backend server accepts connections. */
import { connect } from "node:net";
import type { Clock } from "../base/mod.ts";
import type { Server } from "./server.ts";

/** Connect timeout; servers are a few milliseconds away. */
const CONNECT_TIMEOUT_MS = 300;

/** Result of a connection attempt. */
export type ConnectResult =
  | "reached"
  /** The address has no listener. */
  | "refused"
  /** No answer or another error; the network may be at fault instead of the server. */
  | "unclear";

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

/**
 * Opens a connection and closes it at once.
 *
 * @param address `ip:port`.
 * @returns Result of the connection attempt.
 */
export function tryConnect(address: string): Promise<ConnectResult> {
  const at = address.lastIndexOf(":");
  const host = address.slice(0, at);
  const port = Number(address.slice(at + 1));
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
    const settle = (outcome: ConnectResult) => {
      socket.destroy();
      resolve(outcome);
    };
    socket.once("connect", () => settle("reached"));
    socket.once("timeout", () => settle("unclear"));
    socket.once(
      "error",
      ({ code }: NodeJS.ErrnoException) =>
        settle(code === "ECONNREFUSED" ? "refused" : "unclear"),
    );
  });
}
