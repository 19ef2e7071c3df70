/** Orders that a stand-in backend server has taken, and the weights that it has by them. */

/** An order that was accepted. */
export interface StandinPlatformOrder {
  version: number;
  holder: string;
  fencingToken: number;
  /** When it was accepted. */
  atMs: number;
}

/** Settings of {@link PlatformOrders}. */
export interface PlatformOrdersOptions {
  /** Version of the weights at first. */
  version: number;
  requireFencing: boolean;
  /** Time from an order until its weights are there. */
  loadMs: number;
}

/** Takes orders one at a time. */
export class PlatformOrders {
  /** All that were accepted, also before the last start. */
  readonly accepted: StandinPlatformOrder[] = [];
  readonly #options: PlatformOrdersOptions;
  #version: number;
  #sequence = 0;
  #highestFence = 0;
  #load: NodeJS.Timeout | undefined;

  constructor(options: PlatformOrdersOptions) {
    this.#options = options;
    this.#version = options.version;
  }

  /** Version of the weights that are loaded. */
  get version(): number {
    return this.#version;
  }

  /** Orders accepted since the last start. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Whether weights are being loaded. */
  get busy(): boolean {
    return this.#load !== undefined;
  }

  /**
   * @param order An order as it came.
   * @returns The status of the answer.
   */
  judge(order: Record<string, unknown>): number {
    const fence = Number(order["fencing_token"]);
    if (this.#options.requireFencing && fence < this.#highestFence) return 412;
    if (this.busy || order["expected"] !== this.#sequence) return 409;
    const version = Number(order["version"]);
    if (version === this.#version) return 200;
    this.#highestFence = fence;
    this.#sequence++;
    this.accepted.push({
      version,
      holder: String(order["holder"]),
      fencingToken: fence,
      atMs: performance.now(),
    });
    this.#begin(version);
    return 202;
  }

  /** Forgets counts and fences, and the load that is in progress; loaded weights stay. */
  restart(): void {
    clearTimeout(this.#load);
    this.#load = undefined;
    this.#sequence = 0;
    this.#highestFence = 0;
  }

  #begin(version: number): void {
    if (this.#options.loadMs === 0) {
      this.#version = version;
      return;
    }
    this.#load = setTimeout(() => {
      this.#load = undefined;
      this.#version = version;
    }, this.#options.loadMs);
  }
}
