/** HTTP client of a plain service. */
import { err, ok, type Result } from "true-myth/result";
import type { Client, Dispatcher, Pool } from "undici";
import {
  createPool,
  SingleCallConnections,
  toCallFailure,
} from "./_http_call.ts";
import type {
  HeaderField,
  PlainService,
  ServiceCall,
  ServiceFailure,
  ServiceResponsePart,
} from "./service.ts";

/** Options of {@link HttpService}. */
export interface HttpServiceOptions {
  /** Base URL, such as `http://127.0.0.1:8080`. */
  url: string;
  connectTimeoutMs: number;
  /** Timeout for the response headers. */
  headMs: number;
  /** Timeout between two chunks of the response body; on expiry the call fails as `broken`. */
  silenceMs: number;
}

const DEFAULT_OPTIONS = {
  connectTimeoutMs: 1000,
  headMs: 30_000,
  silenceMs: 20_000,
};

/** Headers that apply to a single connection and are therefore not forwarded. */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "host",
  "content-length",
]);

/** Implements {@link PlainService} over HTTP. */
export class HttpService implements PlainService {
  readonly #pool: Pool;
  readonly #singleCalls: SingleCallConnections;

  private constructor(options: HttpServiceOptions) {
    this.#pool = createPool(options.url, options);
    this.#singleCalls = SingleCallConnections.create(options.url, options);
  }

  /**
   * @param options URL, and options that override the defaults.
   * @returns An adapter that connects on its first call.
   */
  static create(
    options: Partial<HttpServiceOptions> & { url: string },
  ): HttpService {
    return new HttpService({ ...DEFAULT_OPTIONS, ...options });
  }

  async *run(
    call: ServiceCall,
    signal: AbortSignal,
  ): AsyncGenerator<Result<ServiceResponsePart, ServiceFailure>> {
    const abortController = new AbortController();
    const combinedSignal = AbortSignal.any([signal, abortController.signal]);
    const own = call.atMostOnce ? this.#singleCalls.open() : undefined;
    try {
      const dispatcher = own ?? this.#pool;
      const answer = await sendCall(dispatcher, call, combinedSignal);
      if (answer.isErr) return yield err(answer.error);
      const { statusCode, headers, body } = answer.value;
      yield ok({
        kind: "head",
        status: statusCode,
        headers: toHeaderFields(headers),
      });
      for await (const data of body as AsyncIterable<Buffer>) {
        yield ok({ kind: "piece", data });
      }
      yield ok({ kind: "end" });
    } catch (error) {
      yield err({ kind: "broken", message: toCallFailure(error).message });
    } finally {
      abortController.abort();
      if (own) this.#singleCalls.close(own);
    }
  }

  close(): void {
    void this.#pool.destroy();
    this.#singleCalls.closeAll();
  }
}

async function sendCall(
  dispatcher: Pool | Client,
  call: ServiceCall,
  signal: AbortSignal,
): Promise<Result<Dispatcher.ResponseData, ServiceFailure>> {
  try {
    const answer = await dispatcher.request({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: toRequestHeaders(call.headers),
      body: call.body.length > 0 ? call.body : null,
      signal,
    });
    return ok(answer);
  } catch (error) {
    return err(toCallFailure(error));
  }
}

function toRequestHeaders(fields: HeaderField[]): string[] {
  return fields
    .filter(({ name }) => !UNFORWARDED_HEADERS.has(name.toLowerCase()))
    .flatMap(({ name, value }) => [name, value]);
}

function toHeaderFields(
  headers: Dispatcher.ResponseData["headers"],
): HeaderField[] {
  const fields: HeaderField[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || UNFORWARDED_HEADERS.has(name)) continue;
    const values = Array.isArray(value) ? value : [value];
    for (const each of values) fields.push({ name, value: each });
  }
  return fields;
}
