/** Stand-in for the platform's weight store, which is rate-limited. */
import type { WeightsInfo } from "../backends/mod.ts";
import { answerJson, type HostRequest, HttpHost } from "./_http_host.ts";

/** Settings of a {@link StandinWeightStore}. */
export interface StandinWeightStoreOptions {
  /** `ip:port`; port 0 selects a free port. */
  listenAddress: string;
  /** Maximum number of calls per second; further ones are answered with 429. */
  callsPerSecond: number;
  weights: WeightsInfo[];
}

const DEFAULT_OPTIONS: StandinWeightStoreOptions = {
  listenAddress: "127.0.0.1:0",
  callsPerSecond: 10,
  weights: [{ model: "notes", version: "1", sizeBytes: 1_000_000 }],
};

const SECOND_MS = 1000;
const WEIGHTS_PATH = /^\/v1\/weights\/([^/]+)\/([^/]+)$/;

/** A weight store for tests and development. */
export class StandinWeightStore {
  readonly #options: StandinWeightStoreOptions;
  #windowStartMs = 0;
  #callsInWindow = 0;
  #host: HttpHost | undefined;

  private constructor(options: StandinWeightStoreOptions) {
    this.#options = options;
  }

  /**
   * @param options Settings that differ from the defaults.
   * @returns A listening store.
   */
  static async create(
    options: Partial<StandinWeightStoreOptions> = {},
  ): Promise<StandinWeightStore> {
    const store = new StandinWeightStore({ ...DEFAULT_OPTIONS, ...options });
    store.#host = await HttpHost.create({
      listenAddress: store.#options.listenAddress,
      handle: (request) => store.#serve(request),
    });
    return store;
  }

  /** `ip:port` of the listener. */
  get address(): string {
    return this.#host!.address;
  }

  /** Base URL of the listener. */
  get url(): string {
    return `http://${this.address}`;
  }

  /** Stops the store permanently. */
  async close(): Promise<void> {
    await this.#host!.down();
  }

  #serve({ url, response }: HostRequest): void {
    if (!this.#admit()) {
      response.setHeader("retry-after", "1");
      const error = { message: "Too many requests" };
      return answerJson(response, 429, { error });
    }
    const [, model = "", version = ""] = WEIGHTS_PATH.exec(url.pathname) ?? [];
    const found = this.#options.weights.find((weights) =>
      weights.model === decodeURIComponent(model) &&
      weights.version === decodeURIComponent(version)
    );
    if (found) return answerJson(response, 200, found);
    answerJson(response, 404, { error: { message: "Not found" } });
  }

  #admit(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.#windowStartMs >= SECOND_MS) {
      this.#windowStartMs = nowMs;
      this.#callsInWindow = 0;
    }
    this.#callsInWindow++;
    return this.#callsInWindow <= this.#options.callsPerSecond;
  }
}
