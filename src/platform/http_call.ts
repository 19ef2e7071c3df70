/** One HTTP call with a JSON body, bounded in time, over connections that are kept. */
import { Result } from "true-myth";
import { Pool } from "undici";

/** Why a call gave no answer. */
export type CallFailure =
  /** No connection could be made; nothing was sent. */
  | { kind: "unreachable"; message: string }
  /** It was sent, and no whole answer came. */
  | { kind: "no_answer"; message: string }
  /** An answer came that isn't what the protocol says. */
  | { kind: "malformed"; message: string };

/** An answer whose body is JSON, or empty. */
export interface CallAnswer {
  status: number;
  body: Record<string, unknown>;
}

/** What is called. */
export interface Call {
  method: "GET" | "POST" | "DELETE";
  path: string;
  headers?: Record<string, string>;
  body?: unknown;
  /** Longest time without a byte of the answer; a large one over a slow link takes longer in all. */
  callMs: number;
  signal?: AbortSignal;
}

/** No call lasts longer than this multiple of the time that it may be silent. */
const LONGEST_FACTOR = 4;

/** Connections to one address. */
export class HttpCaller {
  readonly #pool: Pool;

  private constructor(address: string, connectMs: number) {
    this.#pool = new Pool(`http://${address}`, {
      connect: { timeout: connectMs },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /**
   * @param address `ip:port`.
   * @param connectMs Time for a new connection.
   * @returns A caller without connections yet.
   */
  static create(address: string, connectMs: number): HttpCaller {
    return new HttpCaller(address, connectMs);
  }

  /**
   * A call that runs out of time ends its connection, which may have gone silent.
   *
   * @param call What to call.
   * @returns The answer, whatever its status.
   */
  async send(call: Call): Promise<Result<CallAnswer, CallFailure>> {
    const stop = new AbortController();
    const onAbort = () => stop.abort();
    const silence = setTimeout(onAbort, call.callMs);
    const timer = setTimeout(onAbort, call.callMs * LONGEST_FACTOR);
    call.signal?.addEventListener("abort", onAbort, { once: true });
    try {
      const { statusCode, body } = await this.#pool.request({
        method: call.method,
        path: call.path,
        headers: { ...call.headers, ...contentType(call.body) },
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal: stop.signal,
      });
      const chunks: Buffer[] = [];
      for await (const chunk of body) {
        silence.refresh();
        chunks.push(chunk);
      }
      return parse(statusCode, Buffer.concat(chunks).toString());
    } catch (error) {
      return Result.err(describe(error));
    } finally {
      clearTimeout(silence);
      clearTimeout(timer);
      call.signal?.removeEventListener("abort", onAbort);
    }
  }

  /** Ends all connections. */
  close(): Promise<void> {
    return this.#pool.destroy();
  }
}

function contentType(body: unknown): Record<string, string> {
  return body === undefined ? {} : { "content-type": "application/json" };
}

function parse(status: number, text: string): Result<CallAnswer, CallFailure> {
  if (text === "") return Result.ok({ status, body: {} });
  try {
    const body: unknown = JSON.parse(text);
    if (typeof body === "object" && body !== null && !Array.isArray(body)) {
      return Result.ok({ status, body: body as Record<string, unknown> });
    }
  } catch {
    // Told below: a refusal's body need not be JSON, that of a success must be.
  }
  if (status !== 200) return Result.ok({ status, body: {} });
  return Result.err({ kind: "malformed", message: "Answer is no JSON object" });
}

/** Codes of connections that were never made, so that nothing was sent. */
const UNREACHABLE = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function describe(error: unknown): CallFailure {
  const code = (error as { code?: string }).code ?? "";
  const message = error instanceof Error ? error.message : String(error);
  const kind = UNREACHABLE.has(code) ? "unreachable" : "no_answer";
  return { kind, message: code ? `${code}: ${message}` : message };
}
