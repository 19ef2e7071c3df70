/** The UDP socket on which entries exchange gossip and ask each other for permits. */
import { createSocket, type Socket } from "node:dgram";
import type { Logger } from "../base/mod.ts";

/** Handles a datagram of another entry. */
export type DatagramListener = (bytes: Buffer, ipAddress: string) => void;

/** Options of {@link PeerSocket}. */
export interface PeerSocketOptions {
  ipAddress: string;
  /** Port of this entry and of all others. */
  port: number;
  log: Logger;
}

/** Sends datagrams to other entries and receives theirs. */
export class PeerSocket {
  readonly #options: PeerSocketOptions;
  readonly #socket: Socket;
  #isClosed = false;

  private constructor(options: PeerSocketOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
  }

  /**
   * @param options Own address.
   * @returns A socket that is not bound yet.
   */
  static create(options: PeerSocketOptions): PeerSocket {
    return new PeerSocket(options);
  }

  /** @param listener Receives all datagrams. */
  listen(listener: DatagramListener): void {
    const { port, ipAddress, log } = this.#options;
    this.#socket.on("message", (bytes, from) => listener(bytes, from.address));
    this.#socket.on("error", (error) => {
      log.warn({ event: "peer_socket_failed", reason: error.message });
    });
    this.#socket.bind(port, ipAddress);
  }

  /**
   * Sends a datagram. One that can't be sent counts as lost; it is logged at debug level only.
   *
   * @param ipAddress Address of the other entry.
   * @param bytes The datagram.
   */
  send(ipAddress: string, bytes: Buffer): void {
    if (this.#isClosed) return;
    const { port, log } = this.#options;
    this.#socket.send(bytes, port, ipAddress, (error) => {
      if (error) log.debug({ event: "peer_not_told", reason: error.message });
    });
  }

  /** Closes the socket. */
  close(): void {
    this.#isClosed = true;
    this.#socket.close();
  }
}
