/** Opens connections to backend servers. */
import { connect } from "node:net";
import type { buildConnector } from "undici";

/** With less lag than this, the process has read everything that has arrived. */
const MIN_LAG_MS = 50;
/** Address of a server, and timeout of connections to it. */
export interface DialOptions {
  /** `ip:port`. */
  address: string;
  connectMs: number;
  /** How long arrived data waits until this process reads it; defaults to 0. */
  lagMs?: () => number;
}

/**
 * Replaces undici's connector, which checks its timeouts only every half second.
 *
 * @param options Address and timeout.
 * @param callback Receives the socket, or why there is none.
 */
export function dial(
  { address, connectMs, lagMs }: DialOptions,
  callback: buildConnector.Callback,
): void {
  const at = address.lastIndexOf(":");
  const host = address.slice(0, at);
  const port = Number(address.slice(at + 1));
  const socket = connect({ host, port, noDelay: true });
  let timer: NodeJS.Timeout;
  const wait = (ms: number) => {
    timer = setTimeout(() => {
      // While this process lags, the connection may be established without being noticed yet.
      const currentLagMs = lagMs?.() ?? 0;
      if (currentLagMs > MIN_LAG_MS) wait(currentLagMs);
      else socket.destroy(new ConnectTimeout());
    }, ms);
  };
  wait(connectMs);
  const fail = (error: Error) => {
    clearTimeout(timer);
    callback(error, null);
  };
  socket.once("error", fail);
  socket.once("connect", () => {
    clearTimeout(timer);
    socket.off("error", fail);
    callback(null, socket);
  });
}

class ConnectTimeout extends Error {
  override readonly name = "ConnectTimeout";
  readonly code = "CONNECT_TIMEOUT";
}
