/** HTTP client of the platform's weight store, which knows the versions and sizes of weights. */
import { err, ok, type Result } from "true-myth/result";
import type { Pool } from "undici";
import { createPool, toCallFailure } from "./_http_call.ts";

/** A version of a model's weights. */
export interface WeightsInfo {
  model: string;
  version: string;
  sizeBytes: number;
}

/** Reason why a lookup of weights failed. */
export type WeightStoreFailure =
  | { kind: "unavailable"; message: string }
  | { kind: "not_found" }
  /** The store's rate limit is exceeded. */
  | { kind: "rate_limited"; retryAfterMs: number };

/** The platform's weight store. */
export interface WeightStore {
  /** Looks up one version of a model's weights. */
  find(
    model: string,
    version: string,
  ): Promise<Result<WeightsInfo, WeightStoreFailure>>;
  close(): void;
}

/** Options of {@link HttpWeightStore}. */
export interface HttpWeightStoreOptions {
  /** Base URL of the weight store. */
  url: string;
  connectTimeoutMs: number;
  /** Timeout for a call. */
  callTimeoutMs: number;
}

const DEFAULT_OPTIONS = { connectTimeoutMs: 1000, callTimeoutMs: 5000 };
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY_REQUESTS = 429;
const MS_PER_SECOND = 1000;

/** Implements {@link WeightStore} over HTTP. */
export class HttpWeightStore implements WeightStore {
  readonly #options: HttpWeightStoreOptions;
  readonly #pool: Pool;

  private constructor(options: HttpWeightStoreOptions) {
    this.#options = options;
    const { connectTimeoutMs, callTimeoutMs } = options;
    this.#pool = createPool(options.url, {
      connectTimeoutMs,
      headMs: callTimeoutMs,
      silenceMs: callTimeoutMs,
    });
  }

  /**
   * @param options URL, and options that override the defaults.
   * @returns An adapter that connects on its first call.
   */
  static create(
    options: Partial<HttpWeightStoreOptions> & { url: string },
  ): HttpWeightStore {
    return new HttpWeightStore({ ...DEFAULT_OPTIONS, ...options });
  }

  async find(
    model: string,
    version: string,
  ): Promise<Result<WeightsInfo, WeightStoreFailure>> {
    const path = `/v1/weights/${encodeURIComponent(model)}/${
      encodeURIComponent(version)
    }`;
    const signal = AbortSignal.timeout(this.#options.callTimeoutMs);
    try {
      const answer = await this.#pool.request({ method: "GET", path, signal });
      const text = await answer.body.text();
      return toWeights(answer.statusCode, text, answer.headers["retry-after"]);
    } catch (error) {
      const { message } = toCallFailure(error);
      return err({ kind: "unavailable", message });
    }
  }

  close(): void {
    void this.#pool.destroy();
  }
}

function toWeights(
  statusCode: number,
  text: string,
  retryAfter: string | string[] | undefined,
): Result<WeightsInfo, WeightStoreFailure> {
  switch (statusCode) {
    case STATUS_OK:
      return ok(JSON.parse(text) as WeightsInfo);
    case STATUS_NOT_FOUND:
      return err({ kind: "not_found" });
    case STATUS_TOO_MANY_REQUESTS: {
      const retryAfterMs = Number(retryAfter ?? 1) * MS_PER_SECOND;
      return err({ kind: "rate_limited", retryAfterMs });
    }
    default:
      return err({ kind: "unavailable", message: `Status ${statusCode}` });
  }
}
