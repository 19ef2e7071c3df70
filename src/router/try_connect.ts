/** Finds out whether a process listens at an address. */
import { connect } from "node:net";

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
 * Delay after a connection has ended, in which the other connections to an ended server break and its
 * port closes.
 */
export const CRASH_SETTLE_MS = 20;

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
