/** Finds out whether a server can be connected to. */
import { connect } from "node:net";
import type { Clock } from "../base/mod.ts";
import type { Server } from "./server.ts";

/** Servers are a few ms away. */
const CONNECT_MS = 300;

/** What became of an attempt to connect. */
export type Connected =
  | "reached"
  /** Nothing listens there. */
  | "refused"
  /** No answer, which a link may cause as well. */
  | "unclear";

/**
 * Opens a connection and closes it. Without one, the server stays down and is probed later; a
 * request that may run once only is too dear to find out with.
 *
 * @param server The server.
 * @param clock The time.
 * @returns Whether it was reached.
 */
export async function probe(server: Server, clock: Clock): Promise<boolean> {
  // The next probe is due later, whatever becomes of this one.
  server.health.unreachable(clock.nowMs());
  const outcome = await connectTo(server.entry.address);
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
 * Opens a connection and closes it.
 *
 * @param address `ip:port`.
 * @returns What became of it.
 */
export function connectTo(address: string): Promise<Connected> {
  const at = address.lastIndexOf(":");
  const host = address.slice(0, at);
  const port = Number(address.slice(at + 1));
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: CONNECT_MS });
    const settle = (outcome: Connected) => {
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
