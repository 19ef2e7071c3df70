/** Tracks client connections and the requests in flight on each. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { RequestFacts } from "./model.ts";

/** Open connections of clients. */
export class ClientConnections {
  /** Requests in flight, in the order in which they were read. */
  readonly #requests = new Map<Socket, Map<ServerResponse, RequestFacts>>();

  private constructor() {}

  /** @returns An object without connections. */
  static create(): ClientConnections {
    return new ClientConnections();
  }

  /** Number of requests in flight. */
  get active(): number {
    let count = 0;
    for (const requests of this.#requests.values()) count += requests.size;
    return count;
  }

  /** The requests in flight, each with its response. */
  get requests(): [ServerResponse, RequestFacts][] {
    return [...this.#requests.values()].flatMap((requests) => [...requests]);
  }

  /** @param socket A connection that was accepted. */
  open(socket: Socket): void {
    this.#requests.set(socket, new Map());
    // Node closes no response that waits behind another one when its connection closes.
    socket.once("close", () => this.#requests.delete(socket));
  }

  /**
   * @param socket Connection on which a request was read.
   * @param response Its response; it is in flight until this is closed.
   * @param facts The request.
   */
  add(socket: Socket, response: ServerResponse, facts: RequestFacts): void {
    const requests = this.#requests.get(socket);
    requests?.set(response, facts);
    response.once("close", () => requests?.delete(response));
  }

  /**
   * @param socket A connection.
   * @returns Whether it ends with an answer that was begun, so that no further request is answered.
   */
  isEnding(socket: Socket): boolean {
    return [...this.#requests.get(socket)?.keys() ?? []].some((response) =>
      response.headersSent && !response.shouldKeepAlive
    );
  }

  /**
   * @param socket A connection.
   * @param response Response to a request on it.
   * @returns Whether no other request was read on the connection after that one.
   */
  isNewest(socket: Socket, response: ServerResponse): boolean {
    return [...this.#requests.get(socket)?.keys() ?? []].at(-1) === response;
  }

  /** Closes connections without a request in flight, so that no further request arrives on them. */
  closeIdle(): void {
    for (const [socket, requests] of this.#requests) {
      if (requests.size === 0) socket.destroy();
    }
  }
}
