/**
 * Refuses orders with an outdated fencing number on behalf of a backend server that may not check
 * fencing numbers itself.
 *
 * The gate keeps the highest number of each lease in memory, and starts with none. If the server
 * checks numbers, it remembers them across restarts of this process. If not, the gate reads the
 * number of the lease's current holder from the key-value service before it accepts the first order
 * under that lease, and accepts none until the read succeeds.
 */
import { Result } from "true-myth";

/**
 * The current holder's fencing number can't be read, so outdated numbers can't be recognized yet.
 */
export interface FloorUnavailable {
  message: string;
}

/** Reads the fencing number of a lease's current holder; 0 if the lease is free. */
export type FloorReader = (
  leaseKey: string,
) => Promise<Result<bigint, FloorUnavailable>>;

/** Tracks the highest fencing number of each lease and refuses orders with a lower one. */
export class FencingGate {
  readonly #highest = new Map<string, bigint>();
  readonly #readFloor: FloorReader | undefined;

  private constructor(readFloor: FloorReader | undefined) {
    this.#readFloor = readFloor;
  }

  /**
   * @param readFloor Called until it succeeds once per lease; undefined if the server itself checks
   *   fencing numbers.
   * @returns A gate without any numbers.
   */
  static create(readFloor?: FloorReader): FencingGate {
    return new FencingGate(readFloor);
  }

  /** Highest fencing number by lease key, for state dumps. */
  get highestNumbers(): Record<string, string> {
    const entries = [...this.#highest].map((
      [key, number],
    ) => [key, `${number}`]);
    return Object.fromEntries(entries);
  }

  /**
   * Loads the lowest acceptable number of a lease if it is unknown; call it before {@link admit}.
   *
   * @param leaseKey Key of the lease.
   * @returns Success, or why the number can't be read.
   */
  async loadHighestNumber(
    leaseKey: string,
  ): Promise<Result<void, FloorUnavailable>> {
    if (this.#highest.has(leaseKey) || !this.#readFloor) {
      return Result.ok(undefined);
    }
    const floor = await this.#readFloor(leaseKey);
    return floor.map((number) => this.recordNumber(leaseKey, number));
  }

  /**
   * Checks an order right before it is sent to the server.
   *
   * @param leaseKey Key of the lease under which the order was issued.
   * @param fencingNumber Fencing number of that lease.
   * @returns Whether the order may be executed; if so, lower numbers are refused from now on.
   */
  admit(leaseKey: string, fencingNumber: bigint): boolean {
    if (fencingNumber < this.highestNumber(leaseKey)) return false;
    this.#highest.set(leaseKey, fencingNumber);
    return true;
  }

  /**
   * Records a number, so that lower ones are refused.
   *
   * @param leaseKey Key of the lease.
   * @param fencingNumber A number seen elsewhere, such as in the store or at the server.
   */
  recordNumber(leaseKey: string, fencingNumber: bigint): void {
    if (fencingNumber < this.highestNumber(leaseKey)) return;
    this.#highest.set(leaseKey, fencingNumber);
  }

  /**
   * @param leaseKey Key of the lease.
   * @returns The highest number seen, or 0 if none was.
   */
  highestNumber(leaseKey: string): bigint {
    return this.#highest.get(leaseKey) ?? 0n;
  }
}
