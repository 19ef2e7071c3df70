/** HTTP client of the platform's instance list. */
import { err, ok, type Result } from "true-myth/result";
import type { Pool } from "undici";
import { createPool, toCallFailure } from "./_http_call.ts";
import type {
  InstanceChanges,
  InstanceList,
  InstanceListFailure,
} from "./instance_list.ts";

/** Options of {@link HttpInstanceList}. */
export interface HttpInstanceListOptions {
  /** Base URL of the instance list. */
  url: string;
  connectTimeoutMs: number;
  /** Timeout for a call, added to the time that the call may wait for changes. */
  callTimeoutMs: number;
}

const DEFAULT_OPTIONS = { connectTimeoutMs: 1000, callTimeoutMs: 3000 };
const STATUS_OK = 200;

/** Implements {@link InstanceList} over HTTP. */
export class HttpInstanceList implements InstanceList {
  readonly #options: HttpInstanceListOptions;
  readonly #pool: Pool;

  private constructor(options: HttpInstanceListOptions) {
    this.#options = options;
    // The pool has no header and body timeouts: each call has a timeout for its whole duration.
    const { connectTimeoutMs } = options;
    this.#pool = createPool(options.url, {
      connectTimeoutMs,
      headMs: 0,
      silenceMs: 0,
    });
  }

  /**
   * @param options URL, and options that override the defaults.
   * @returns An adapter that connects on its first call.
   */
  static create(
    options: Partial<HttpInstanceListOptions> & { url: string },
  ): HttpInstanceList {
    return new HttpInstanceList({ ...DEFAULT_OPTIONS, ...options });
  }

  async changes(
    sinceRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Result<InstanceChanges, InstanceListFailure>> {
    const abortController = new AbortController();
    const abort = () => abortController.abort();
    const timer = setTimeout(abort, waitMs + this.#options.callTimeoutMs);
    signal.addEventListener("abort", abort, { once: true });
    if (signal.aborted) abort();
    const path = `/v1/instances?since=${sinceRevision}&waitMs=${waitMs}`;
    try {
      return await this.#query(path, abortController.signal);
    } catch (error) {
      return toUnavailable(toCallFailure(error).message);
    } finally {
      clearTimeout(timer);
      signal.removeEventListener("abort", abort);
    }
  }

  close(): void {
    void this.#pool.destroy();
  }

  async #query(
    path: string,
    signal: AbortSignal,
  ): Promise<Result<InstanceChanges, InstanceListFailure>> {
    const request = { method: "GET", path, signal } as const;
    const { statusCode, body } = await this.#pool.request(request);
    const text = await body.text();
    if (statusCode !== STATUS_OK) return toUnavailable(`Status ${statusCode}`);
    return ok(JSON.parse(text) as InstanceChanges);
  }
}

function toUnavailable(
  message: string,
): Result<InstanceChanges, InstanceListFailure> {
  return err({ kind: "unavailable", message });
}
