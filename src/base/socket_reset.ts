/** Detects that a peer has reset a connection. */
import type { Socket } from "node:net";

/** Errors of reads and writes on a connection that the peer has reset. */
const RESET_CODES: ReadonlySet<string | undefined> = new Set([
  "ECONNRESET",
  "EPIPE",
]);

/**
 * @param error Error of a socket.
 * @returns Whether the peer has reset the connection.
 */
export function isReset(error: NodeJS.ErrnoException | null | undefined) {
  return RESET_CODES.has(error?.code);
}

/**
 * Calls the listener if the peer resets a connection, also if the reset arrives together with the last
 * data: Node then reports an orderly end. The result of a write is known one turn after that end.
 *
 * @param socket An open connection; listeners added later see an end after this function's.
 * @param listener Called at most twice.
 */
export function onReset(socket: Socket, listener: () => void): void {
  const check = (error?: Error | null) => {
    if (isReset(error)) listener();
  };
  socket.prependListener("error", check);
  socket.prependListener("end", () => {
    // A write without bytes sends nothing, and fails on a connection that was reset.
    if (socket.writableLength === 0) socket.write("", check);
    else delayDestroy(socket, listener);
  });
}

/**
 * Writes that are under way fail in the same turn as the end if the connection was reset. Destroying
 * the socket in that turn would cancel them before, and a write without bytes would wait behind them.
 */
function delayDestroy(socket: Socket, onReset: () => void): void {
  const errors: (NodeJS.ErrnoException | undefined)[] = [];
  socket.destroy = (error) => {
    errors.push(error);
    return socket;
  };
  setImmediate(() => {
    Reflect.deleteProperty(socket, "destroy");
    // The kernel reports EPIPE in its place if the peer had ended the connection before the reset.
    if (errors.some((error) => error?.code === "ECONNRESET")) onReset();
    if (errors.length > 0) socket.destroy(errors[0]);
  });
}
