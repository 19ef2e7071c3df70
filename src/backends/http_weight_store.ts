/** The platform's weight store over HTTP: what versions of weights there are, and their size. */
import { err, ok, type Result } from "true-myth/result";
import type { Pool } from "undici";
import { createPool, toCallFailure } from "./_http_call.ts";

/** Weights of one version of a model. */
export interface WeightsInfo {
  model: string;
  version: string;
  sizeBytes: number;
}

/** Why the store told nothing about the weights. */
export type WeightStoreFailure =
  | { kind: "unavailable"; message: string }
  | { kind: "not_found" }
  /** The store's rate is used up. */
  | { kind: "rate_limited"; retryAfterMs: number };

/** Query of the weight store. */
export interface WeightStore {
  /** Looks up one version of a model. */
  find(
    model: string,
    version: string,
  ): Promise<Result<WeightsInfo, WeightStoreFailure>>;
  close(): void;
}

/** Settings of an {@link HttpWeightStore}. */
export interface HttpWeightStoreOptions {
  /** Base URL of the store. */
  url: string;
  connectMs: number;
  /** Deadline of a call. */
  callMs: number;
}

const DEFAULT_OPTIONS = { connectMs: 1000, callMs: 5000 };
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY_REQUESTS = 429;
const MS_PER_SECOND = 1000;

/** {@link WeightStore} over HTTP. */
export class HttpWeightStore implements WeightStore {
  readonly #options: HttpWeightStoreOptions;
  readonly #pool: Pool;

  private constructor(options: HttpWeightStoreOptions) {
    this.#options = options;
    const { connectMs, callMs } = options;
    this.#pool = createPool(options.url, {
      connectMs,
      headMs: callMs,
      silenceMs: callMs,
    });
  }

  /**
   * @param options URL, and settings that differ from the defaults.
   * @returns An adapter that connects when it is first used.
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
    const signal = AbortSignal.timeout(this.#options.callMs);
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
