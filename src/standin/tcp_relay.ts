/** A relay between two ends whose connections can go silent, be cut, or be slow. */
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Settings of a {@link TcpRelay}. */
export interface TcpRelayOptions {
  /** `ip:port`; port 0: any free one. */
  listenAddress: string;
  /** `ip:port` of the real listener. */
  targetAddress: string;
  /** Added to each direction. */
  delayMs: number;
}

interface Relayed {
  near: Socket;
  far: Socket;
  frozen: boolean;
}

/** Stands between two processes in tests. */
export class TcpRelay {
  readonly #options: TcpRelayOptions;
  readonly #server: Server;
  readonly #relayed = new Set<Relayed>();
  #isDown = false;
  #isSilent = false;

  private constructor(options: TcpRelayOptions) {
    this.#options = options;
    this.#server = createServer((near) => this.#accept(near));
  }

  /**
   * @param options Where to listen, and what for.
   * @returns A relay that listens.
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

  /** Connections now open. */
  get openCount(): number {
    return this.#relayed.size;
  }

  /** From now on open connections pass nothing on, for good; new ones work. */
  freezeOpen(): void {
    for (const relayed of this.#relayed) relayed.frozen = true;
  }

  /** Passes nothing on until {@link up}, on connections that are open and on new ones. */
  silent(): void {
    this.#isSilent = true;
    this.freezeOpen();
  }

  /** Cuts open connections. */
  cutOpen(): void {
    for (const { near, far } of this.#relayed) {
      near.destroy();
      far.destroy();
    }
  }

  /** Cuts open connections, and new ones as soon as they are made. */
  down(): void {
    this.#isDown = true;
    this.cutOpen();
  }

  /** Passes new connections on again; those of a {@link silent} time are cut. */
  up(): void {
    if (this.#isSilent) this.cutOpen();
    this.#isDown = false;
    this.#isSilent = false;
  }

  /** Stops for good. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.cutOpen();
    await closed;
  }

  #accept(near: Socket): void {
    if (this.#isDown) {
      near.destroy();
      return;
    }
    const far = connect(splitAddress(this.#options.targetAddress));
    const relayed = { near, far, frozen: this.#isSilent };
    this.#relayed.add(relayed);
    for (const socket of [near, far]) socket.setNoDelay(true);
    this.#pass(relayed, near, far);
    this.#pass(relayed, far, near);
  }

  #pass(relayed: Relayed, from: Socket, to: Socket): void {
    const { delayMs } = this.#options;
    const later = (action: () => void) => {
      if (delayMs === 0) return action();
      setTimeout(action, delayMs);
    };
    from.on("data", (data) => {
      later(() => {
        if (!relayed.frozen && to.writable) to.write(data);
      });
    });
    from.on("error", () => {});
    from.on("close", () => {
      // A frozen connection does not tell the other end that this one is gone.
      later(() => {
        if (relayed.frozen) return;
        to.destroy();
        this.#relayed.delete(relayed);
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
