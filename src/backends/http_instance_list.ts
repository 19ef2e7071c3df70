/** The platform's list of instances over HTTP. */
import { err, ok, type Result } from "true-myth/result";
import type { Pool } from "undici";
import { createPool, toCallFailure } from "./_http_call.ts";
import type {
  InstanceChanges,
  InstanceList,
  InstanceListFailure,
} from "./instances.ts";

/** Settings of an {@link HttpInstanceList}. */
export interface HttpInstanceListOptions {
  /** Base URL of the platform's list. */
  url: string;
  connectMs: number;
  /** Deadline of a call, beyond the time that it may wait for changes. */
  callMs: number;
}

const DEFAULT_OPTIONS = { connectMs: 1000, callMs: 3000 };
const STATUS_OK = 200;

/** {@link InstanceList} over HTTP. */
export class HttpInstanceList implements InstanceList {
  readonly #options: HttpInstanceListOptions;
  readonly #pool: Pool;

  private constructor(options: HttpInstanceListOptions) {
    this.#options = options;
    // The deadline of each call bounds all of it.
    const { connectMs } = options;
    this.#pool = createPool(options.url, {
      connectMs,
      headMs: 0,
      silenceMs: 0,
    });
  }

  /**
   * @param options URL, and settings that differ from the defaults.
   * @returns An adapter that connects when it is first used.
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
    const stop = new AbortController();
    const abort = () => stop.abort();
    const timer = setTimeout(abort, waitMs + this.#options.callMs);
    signal.addEventListener("abort", abort, { once: true });
    if (signal.aborted) abort();
    const path = `/v1/instances?since=${sinceRevision}&waitMs=${waitMs}`;
    try {
      return await this.#query(path, stop.signal);
    } catch (error) {
      return unavailable(toCallFailure(error).message);
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
    if (statusCode !== STATUS_OK) return unavailable(`Status ${statusCode}`);
    return ok(JSON.parse(text) as InstanceChanges);
  }
}

function unavailable(
  message: string,
): Result<InstanceChanges, InstanceListFailure> {
  return err({ kind: "unavailable", message });
}
