/** Finds out whether a server that was down can be connected to again. */
import { connect } from "node:net";
import type { Clock } from "../base/mod.ts";
import type { Server } from "./server.ts";

/** Servers are a few ms away. */
const CONNECT_MS = 300;

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
  const isReached = await canConnect(server.entry.address);
  if (isReached) server.health.reached();
  return isReached;
}

function canConnect(address: string): Promise<boolean> {
  const at = address.lastIndexOf(":");
  const host = address.slice(0, at);
  const port = Number(address.slice(at + 1));
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: CONNECT_MS });
    const settle = (isReached: boolean) => {
      socket.destroy();
      resolve(isReached);
    };
    socket.once("connect", () => settle(true));
    socket.once("timeout", () => settle(false));
    socket.once("error", () => settle(false));
  });
}
