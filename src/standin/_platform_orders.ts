/** Weight-loading orders of a stand-in backend server. */

/** An order that was accepted. */
export interface AcceptedOrder {
  version: number;
  holder: string;
  fencingToken: number;
  /** Time of acceptance on the monotonic clock. */
  atMs: number;
}

/** Settings of {@link PlatformOrders}. */
export interface PlatformOrdersOptions {
  /** Initial version of the weights. */
  version: number;
  /** Whether orders with an outdated fencing token are rejected. */
  requireFencing: boolean;
  /** Time that loading weights takes. */
  loadMs: number;
}

/** Validates and executes orders, one at a time. */
export class PlatformOrders {
  /** All accepted orders, including those from before a restart. */
  readonly accepted: AcceptedOrder[] = [];
  readonly #options: PlatformOrdersOptions;
  #version: number;
  #sequence = 0;
  #highestFencingToken = 0;
  #loadTimer: NodeJS.Timeout | undefined;

  constructor(options: PlatformOrdersOptions) {
    this.#options = options;
    this.#version = options.version;
  }

  /** Version of the weights that are loaded. */
  get version(): number {
    return this.#version;
  }

  /** Number of orders accepted since the last restart. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Whether a load is in progress. */
  get busy(): boolean {
    return this.#loadTimer !== undefined;
  }

  /**
   * Validates an order and starts loading its weights.
   *
   * @param order Parsed body of the order.
   * @returns HTTP status of the answer: 202 if accepted, 200 if the version is already loaded, 412 for
   * an outdated fencing token, 409 if a load is in progress or the sequence does not match.
   */
  submit(order: Record<string, unknown>): number {
    const fencingToken = Number(order["fencing_token"]);
    if (
      this.#options.requireFencing && fencingToken < this.#highestFencingToken
    ) return 412;
    if (this.busy || order["expected"] !== this.#sequence) return 409;
    const version = Number(order["version"]);
    if (version === this.#version) return 200;
    this.#highestFencingToken = fencingToken;
    this.#sequence++;
    this.accepted.push({
      version,
      holder: String(order["holder"]),
      fencingToken,
      atMs: performance.now(),
    });
    this.#startLoad(version);
    return 202;
  }

  /** Resets the sequence and the fencing token and aborts a load in progress; keeps loaded weights. */
  restart(): void {
    clearTimeout(this.#loadTimer);
    this.#loadTimer = undefined;
    this.#sequence = 0;
    this.#highestFencingToken = 0;
  }

  #startLoad(version: number): void {
    if (this.#options.loadMs === 0) {
      this.#version = version;
      return;
    }
    this.#loadTimer = setTimeout(() => {
      this.#loadTimer = undefined;
      this.#version = version;
    }, this.#options.loadMs);
  }
}
