/** Refusals that a server sends late: they name no request, and arrive while the next one runs. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Late refusals of one server. */
export class LateRefusals {
  /** Connections that have carried a request. */
  readonly #used = new WeakSet<Socket>();

  private constructor() {}

  /** @returns An object that knows no connections. */
  static create(): LateRefusals {
    return new LateRefusals();
  }

  /**
   * Call it for each request.
   *
   * @param response Response that has not begun; a refusal is sent before it if its connection has
   *   carried another request.
   * @param options Whether refusals are sent now, and the value of the header that names the server's
   *   rate.
   */
  send(
    { socket }: ServerResponse,
    { isEnabled, rate }: { isEnabled: boolean; rate: string | undefined },
  ): void {
    if (!socket) return;
    const limit = rate === undefined ? "" : `server-limit: ${rate}\r\n`;
    if (isEnabled && this.#used.has(socket)) {
      socket.write(
        `HTTP/1.1 503 Full\r\nnot-executed: 1\r\n${limit}` +
          "content-length: 0\r\n\r\n",
      );
    }
    this.#used.add(socket);
  }
}
