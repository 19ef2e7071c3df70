/** Client of a model engine's OpenAI-compatible HTTP interface; see docs/INTERFACES.md. */
import { err, ok, type Result } from "true-myth/result";
import type { Client, Dispatcher, Pool } from "undici";
import { readEngineStream } from "./_engine_stream.ts";
import {
  createPool,
  SingleCallConnections,
  toCallFailure,
} from "./_http_call.ts";
import { readLines } from "./_lines.ts";
import type {
  CacheEvent,
  CacheFeedItem,
  Engine,
  EngineCall,
  EngineFailure,
  EngineInfo,
  EngineLoad,
  EngineOrder,
  EngineResponsePart,
} from "./engine.ts";

/** Options of {@link HttpEngine}. */
export interface HttpEngineOptions {
  /** Base URL, such as `http://127.0.0.1:8000`. */
  url: string;
  connectTimeoutMs: number;
  /** Timeout for the response headers of a run, including its time in the engine's queue. */
  headMs: number;
  /** Timeout between two chunks of a run's response; on expiry the run fails as `broken`. */
  silenceMs: number;
  /** Timeout between two lines of the cache event feed; on expiry the feed fails as `broken`. */
  feedTimeoutMs: number;
  /** Timeout for queries and orders. */
  callTimeoutMs: number;
  /** Timeout for an order to load a model. */
  loadTimeoutMs: number;
}

type Snapshot = Extract<CacheFeedItem, { kind: "snapshot" }>;

const DEFAULT_OPTIONS = {
  connectTimeoutMs: 1000,
  headMs: 60_000,
  silenceMs: 20_000,
  feedTimeoutMs: 5000,
  callTimeoutMs: 5000,
  loadTimeoutMs: 1_800_000,
};

const API_PATHS = {
  chat: "/v1/chat/completions",
  text: "/v1/completions",
} as const;

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const JSON_HEADERS = { "content-type": "application/json" };

/** Implements {@link Engine} over HTTP. */
export class HttpEngine implements Engine {
  readonly #options: HttpEngineOptions;
  readonly #pool: Pool;
  readonly #runs: SingleCallConnections;

  private constructor(options: HttpEngineOptions) {
    this.#options = options;
    this.#pool = createPool(options.url, options);
    this.#runs = SingleCallConnections.create(options.url, options);
  }

  /**
   * @param options URL, and options that override the defaults.
   * @returns An adapter that connects on its first call.
   */
  static create(
    options: Partial<HttpEngineOptions> & { url: string },
  ): HttpEngine {
    return new HttpEngine({ ...DEFAULT_OPTIONS, ...options });
  }

  info(): Promise<Result<EngineInfo, EngineFailure>> {
    return this.#query<EngineInfo>("/info");
  }

  load(): Promise<Result<EngineLoad, EngineFailure>> {
    return this.#query<EngineLoad>("/load");
  }

  async *run(
    call: EngineCall,
    signal: AbortSignal,
  ): AsyncGenerator<Result<EngineResponsePart, EngineFailure>> {
    const connection = this.#runs.open();
    try {
      const answer = await request(connection, {
        method: "POST",
        path: API_PATHS[call.api],
        headers: { ...JSON_HEADERS, "x-request-id": call.requestId },
        body: JSON.stringify(toEngineBody(call)),
        signal,
      });
      if (answer.isErr) return yield err(answer.error);
      const { statusCode, body } = answer.value;
      if (statusCode !== STATUS_OK) {
        return yield err(await toRejection(statusCode, body));
      }
      const options = { forwardsUsage: wantsUsage(call.body) };
      const chunks = body.iterator({ destroyOnReturn: false });
      yield* readEngineStream(chunks, options);
    } finally {
      // Cancels the run if it has not ended.
      this.#runs.close(connection);
    }
  }

  async cacheSnapshot(): Promise<Result<Snapshot, EngineFailure>> {
    const answer = await this.#query<Omit<Snapshot, "kind">>("/cache");
    return answer.map((snapshot) => ({ ...snapshot, kind: "snapshot" }));
  }

  async *cacheEvents(
    sinceSeq: number,
    signal: AbortSignal,
  ): AsyncGenerator<Result<CacheFeedItem, EngineFailure>> {
    const answer = await this.#send({
      method: "GET",
      path: `/cache_events?since=${sinceSeq}`,
      bodyTimeout: this.#options.feedTimeoutMs,
      headersTimeout: this.#options.callTimeoutMs,
      signal,
    });
    if (answer.isErr) return yield err(answer.error);
    const { statusCode, body } = answer.value;
    if (statusCode !== STATUS_OK) {
      return yield err(await toRejection(statusCode, body));
    }
    yield* readEventFeed(body);
  }

  async exportCache(
    cacheSalt: string,
    blockKeys: string[],
  ): Promise<Result<Uint8Array, EngineFailure>> {
    const request = { cache_salt: cacheSalt, block_keys: blockKeys };
    return await this.#command("/kv/export", JSON.stringify(request));
  }

  async importCache(data: Uint8Array): Promise<Result<number, EngineFailure>> {
    const answer = await this.#command("/kv/import", data);
    return answer.andThen((body) => parseJson<{ imported: number }>(body))
      .map(({ imported }) => imported);
  }

  async order(order: EngineOrder): Promise<Result<void, EngineFailure>> {
    const { path, body } = toOrderRequest(order);
    const { loadTimeoutMs, callTimeoutMs } = this.#options;
    const timeoutMs = order.order.kind === "load"
      ? loadTimeoutMs
      : callTimeoutMs;
    const answer = await this.#command(path, JSON.stringify(body), timeoutMs);
    return answer.map(() => undefined).mapErr(toFencedFailure);
  }

  close(): void {
    void this.#pool.destroy();
    this.#runs.closeAll();
  }

  async #query<T>(path: string): Promise<Result<T, EngineFailure>> {
    const answer = await this.#call({ method: "GET", path });
    return answer.andThen((body) => parseJson<T>(body));
  }

  #command(
    path: string,
    body: string | Uint8Array,
    timeoutMs = this.#options.callTimeoutMs,
  ): Promise<Result<Buffer, EngineFailure>> {
    const headers = JSON_HEADERS;
    const headersTimeout = timeoutMs;
    const method = "POST";
    return this.#call(
      { method, path, headers, body, headersTimeout },
      timeoutMs,
    );
  }

  async #call(
    request: Dispatcher.RequestOptions,
    timeoutMs = this.#options.callTimeoutMs,
  ): Promise<Result<Buffer, EngineFailure>> {
    const signal = AbortSignal.timeout(timeoutMs);
    const answer = await this.#send({ ...request, signal });
    if (answer.isErr) return err(answer.error);
    const { statusCode, body } = answer.value;
    if (statusCode !== STATUS_OK) {
      return err(await toRejection(statusCode, body));
    }
    try {
      return ok(Buffer.from(await body.arrayBuffer()));
    } catch (error) {
      return err({ kind: "broken", message: toCallFailure(error).message });
    }
  }

  #send(
    options: Dispatcher.RequestOptions,
  ): Promise<Result<Dispatcher.ResponseData, EngineFailure>> {
    return request(this.#pool, options);
  }
}

async function request(
  dispatcher: Pool | Client,
  options: Dispatcher.RequestOptions,
): Promise<Result<Dispatcher.ResponseData, EngineFailure>> {
  try {
    return ok(await dispatcher.request(options));
  } catch (error) {
    return err(toCallFailure(error));
  }
}

function toEngineBody(call: EngineCall): Record<string, unknown> {
  const { weightsVersion } = call;
  const version = weightsVersion ? { weights_version: weightsVersion } : {};
  return {
    ...call.body,
    ...version,
    stream: true,
    stream_options: { include_usage: true },
    priority: call.priority,
    cache_salt: call.cacheSalt,
  };
}

function wantsUsage(body: Record<string, unknown>): boolean {
  const options = body["stream_options"] as
    | { include_usage?: unknown }
    | undefined;
  return options?.include_usage === true;
}

async function toRejection(
  status: number,
  body: Dispatcher.ResponseData["body"],
): Promise<EngineFailure> {
  try {
    return { kind: "rejected", status, body: await body.text() };
  } catch {
    return { kind: "rejected", status, body: "" };
  }
}

function toFencedFailure(failure: EngineFailure): EngineFailure {
  if (failure.kind !== "rejected" || failure.status !== STATUS_CONFLICT) {
    return failure;
  }
  const parsed = parseJson<{ highest_fencing_number: string }>(
    Buffer.from(failure.body),
  );
  if (parsed.isErr) return failure;
  const highest = parsed.value.highest_fencing_number;
  return { kind: "fenced", highestFencingNumber: BigInt(highest) };
}

function toOrderRequest(
  { fencingNumber, order }: EngineOrder,
): { path: string; body: Record<string, unknown> } {
  const fencing_number = String(fencingNumber);
  switch (order.kind) {
    case "load":
    case "unload": {
      const body = { fencing_number, model: order.model };
      return { path: `/orders/${order.kind}`, body };
    }
    case "role":
      return {
        path: "/orders/role",
        body: { fencing_number, role: order.role },
      };
  }
}

/** Reads the incarnation from the first line and an event from every other non-empty line. */
async function* readEventFeed(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<Result<CacheFeedItem, EngineFailure>> {
  let incarnation: string | undefined;
  try {
    for await (const line of readLines(body)) {
      if (line === "") continue;
      const value = JSON.parse(line);
      if (incarnation === undefined) incarnation = String(value.incarnation);
      else yield ok({ kind: "event", incarnation, event: value as CacheEvent });
    }
    yield err({ kind: "broken", message: "The event feed ended" });
  } catch (error) {
    yield err({ kind: "broken", message: toCallFailure(error).message });
  }
}

function parseJson<T>(body: Buffer): Result<T, EngineFailure> {
  try {
    return ok(JSON.parse(body.toString()) as T);
  } catch {
    return err({ kind: "broken", message: "The answer is not JSON" });
  }
}
