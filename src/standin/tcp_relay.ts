/** TCP relay that can delay, freeze or cut the connections it forwards. */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Settings of a {@link TcpRelay}. */
export interface TcpRelayOptions {
  /** `ip:port`; port 0 selects a free port. */
  listenAddress: string;
  /** `ip:port` to forward connections to. */
  targetAddress: string;
  /** Delay added in each direction. */
  delayMs: number;
  /** IP address from which connections are forwarded; undefined: any. */
  sourceAddress?: string;
}

/** A forwarded connection. */
interface RelayedConnection {
  client: Socket;
  target: Socket;
  /** Whether data and closes are no longer forwarded. */
  frozen: boolean;
}

/** Injects network faults between two processes in tests. */
export class TcpRelay {
  readonly #options: TcpRelayOptions;
  readonly #server: Server;
  readonly #connections = new Set<RelayedConnection>();
  #isDown = false;
  #isSilent = false;

  private constructor(options: TcpRelayOptions) {
    this.#options = options;
    this.#server = createServer((near) => this.#accept(near));
  }

  /**
   * @param options Target address, and settings that differ from the defaults.
   * @returns A listening relay.
   */
  static async create(
    options: Partial<TcpRelayOptions> & { targetAddress: string },
  ): Promise<TcpRelay> {
    const relay = new TcpRelay({
      listenAddress: "127.0.0.1:0",
      delayMs: 0,
      ...options,
    });
    const { host, port } = splitAddress(relay.#options.listenAddress);
    await new Promise<void>((resolve) =>
      relay.#server.listen(port, host, resolve)
    );
    return relay;
  }

  /** `ip:port` of the listener. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Stops forwarding on all open connections permanently; new connections work. */
  freezeOpen(): void {
    for (const connection of this.#connections) connection.frozen = true;
  }

  /** Stops forwarding on open and new connections until {@link up}; they stay open. */
  silent(): void {
    this.#isSilent = true;
    this.freezeOpen();
  }

  /** Cuts all open connections. */
  cutOpen(): void {
    for (const { client, target } of this.#connections) {
      client.destroy();
      target.destroy();
    }
  }

  /** Cuts all open connections, and new ones as soon as they are accepted, until {@link up}. */
  down(): void {
    this.#isDown = true;
    this.cutOpen();
  }

  /** Forwards new connections again; cuts those that {@link silent} froze. */
  up(): void {
    if (this.#isSilent) this.cutOpen();
    this.#isDown = false;
    this.#isSilent = false;
  }

  /** Stops the relay permanently. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.cutOpen();
    await closed;
  }

  #accept(client: Socket): void {
    if (this.#isDown) {
      client.destroy();
      return;
    }
    const { targetAddress, sourceAddress } = this.#options;
    const target = connect({
      ...splitAddress(targetAddress),
      localAddress: sourceAddress,
    });
    const connection = { client, target, frozen: this.#isSilent };
    this.#connections.add(connection);
    for (const socket of [client, target]) socket.setNoDelay(true);
    this.#forward(connection, client, target);
    this.#forward(connection, target, client);
  }

  #forward(connection: RelayedConnection, from: Socket, to: Socket): void {
    const { delayMs } = this.#options;
    const afterDelay = (action: () => void) => {
      if (delayMs === 0) return action();
      setTimeout(action, delayMs);
    };
    from.on("data", (data) => {
      afterDelay(() => {
        if (!connection.frozen && to.writable) to.write(data);
      });
    });
    from.on("error", () => {});
    from.on("close", () => {
      // On a frozen connection, the other end must not notice the close.
      afterDelay(() => {
        if (connection.frozen) return;
        to.destroy();
        this.#connections.delete(connection);
      });
    });
  }
}

function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
