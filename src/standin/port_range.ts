/**
 * Ports that no other test process uses. A listener that is down for a moment would lose its port to
 * another process otherwise, whose servers may have the same ids and would take its requests.
 */
import { createServer, type Server } from "node:net";
import process from "node:process";

/** Connections to other addresses of the loopback network don't conflict with the guards. */
const GUARD_ADDRESS = "127.0.0.1";

/** Bounds of a {@link PortRange}. */
export interface PortRangeOptions {
  firstPort: number;
  /** Last port, inclusive. */
  lastPort: number;
  /** Ports that a process claims at a time; one of them is its guard. */
  blockPorts: number;
}

/** No block of ports is left. */
export class PortRangeError extends Error {
  override readonly name = "PortRangeError";
}

/** A range of ports that processes share by claiming blocks of it. */
export class PortRange {
  readonly #options: PortRangeOptions;
  readonly #blockCount: number;
  /** Listeners that other processes find in use; the kernel closes them with this process. */
  readonly #guards: Server[] = [];
  /** Ports of the last block that were not given out. */
  #free: number[] = [];
  #lastClaim: Promise<unknown> = Promise.resolve();

  private constructor(options: PortRangeOptions) {
    this.#options = options;
    const { firstPort, lastPort, blockPorts } = options;
    this.#blockCount = Math.floor((lastPort - firstPort + 1) / blockPorts);
  }

  /**
   * @param options Bounds of the range, below the ephemeral ports.
   * @returns A range of which this process has claimed nothing.
   */
  static create(options: PortRangeOptions): PortRange {
    return new PortRange(options);
  }

  /**
   * @returns A port that was not given out before, in this process or in another one that lives.
   * @throws {PortRangeError} All blocks are claimed.
   */
  next(): Promise<number> {
    const port = this.#lastClaim.then(() => this.#take());
    this.#lastClaim = port.catch(() => {});
    return port;
  }

  /** Gives back all ports. */
  close(): void {
    for (const guard of this.#guards.splice(0)) guard.close();
    this.#free = [];
  }

  async #take(): Promise<number> {
    if (this.#free.length === 0) this.#free = await this.#claimBlock();
    return this.#free.shift()!;
  }

  async #claimBlock(): Promise<number[]> {
    const { firstPort, blockPorts } = this.#options;
    for (let i = 0; i < this.#blockCount; i++) {
      const block = (process.pid + i) % this.#blockCount;
      const guardPort = firstPort + block * blockPorts;
      if (!await this.#guard(guardPort)) continue;
      return Array.from(
        { length: blockPorts - 1 },
        (_, k) => guardPort + 1 + k,
      );
    }
    throw new PortRangeError(`All ports from ${firstPort} on are in use`);
  }

  #guard(port: number): Promise<boolean> {
    return new Promise((resolve) => {
      const guard = createServer().unref();
      guard.once("error", () => resolve(false));
      guard.listen(port, GUARD_ADDRESS, () => {
        this.#guards.push(guard);
        resolve(true);
      });
    });
  }
}
