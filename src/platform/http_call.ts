/** HTTP calls with JSON bodies and timeouts over pooled connections. */
import type { IncomingHttpHeaders } from "node:http";
import { Result } from "true-myth";
import { Pool } from "undici";
import { ByteCollector } from "../base/mod.ts";

/** Why a call failed. */
export type CallFailure =
  /** The connection failed; nothing was sent. */
  | { kind: "unreachable"; message: string }
  /** The request may have been sent, but no complete answer arrived. */
  | { kind: "no_answer"; message: string }
  /** The answer violates the protocol. */
  | { kind: "malformed"; message: string };

/** An answer with a JSON body; `body` is `{}` if the answer's body was empty. */
export interface CallAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: Record<string, unknown>;
}

/** One HTTP request and its timeout. */
export interface Call {
  method: "GET" | "POST" | "DELETE";
  path: string;
  headers?: Record<string, string>;
  body?: unknown;
  /**
   * Idle timeout: longest time without a byte of the answer. A large answer over a slow link may
   * take longer in total.
   */
  idleTimeoutMs: number;
  /** Largest body of an answer; defaults to {@link MAX_ANSWER_BYTES}. */
  maxAnswerBytes?: number;
  signal?: AbortSignal;
}

/** Largest body of an answer: the state of the whole fleet, which entries send each other. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** Bounds the total duration of a call, as a multiple of its idle timeout. */
export const TOTAL_TIMEOUT_FACTOR = 4;

/** Sends calls to one address over a connection pool. */
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
   * @param connectMs Connect timeout.
   * @returns A caller that connects on the first call.
   */
  static create(address: string, connectMs: number): HttpCaller {
    return new HttpCaller(address, connectMs);
  }

  /**
   * Sends a request and reads the whole answer. A call that times out closes its connection,
   * because the peer may have stopped responding.
   *
   * @param call The request.
   * @returns The answer, with any status, or why the call failed.
   */
  async send(call: Call): Promise<Result<CallAnswer, CallFailure>> {
    const controller = new AbortController();
    const onAbort = () => controller.abort();
    const idleTimer = setTimeout(onAbort, call.idleTimeoutMs);
    const totalTimer = setTimeout(
      onAbort,
      call.idleTimeoutMs * TOTAL_TIMEOUT_FACTOR,
    );
    call.signal?.addEventListener("abort", onAbort, { once: true });
    try {
      const { statusCode, headers, body } = await this.#pool.request({
        method: call.method,
        path: call.path,
        headers: { ...call.headers, ...contentType(call.body) },
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal: controller.signal,
      });
      const { maxAnswerBytes = MAX_ANSWER_BYTES } = call;
      const collector = ByteCollector.create();
      for await (const chunk of body) {
        idleTimer.refresh();
        collector.push(chunk);
        // Leaving the loop closes the connection.
        if (collector.sizeBytes > maxAnswerBytes) return tooLarge();
      }
      const text = collector.take().toString();
      return parseBody(statusCode, text).map((parsed) => ({
        status: statusCode,
        headers,
        body: parsed,
      }));
    } catch (error) {
      return Result.err(toCallFailure(error));
    } finally {
      clearTimeout(idleTimer);
      clearTimeout(totalTimer);
      call.signal?.removeEventListener("abort", onAbort);
    }
  }

  /** Closes all connections; calls in flight fail. */
  close(): Promise<void> {
    return this.#pool.destroy();
  }
}

function tooLarge(): Result<CallAnswer, CallFailure> {
  return Result.err({ kind: "malformed", message: "Answer is too large" });
}

function contentType(body: unknown): Record<string, string> {
  return body === undefined ? {} : { "content-type": "application/json" };
}

function parseBody(
  status: number,
  text: string,
): Result<CallAnswer["body"], CallFailure> {
  if (text === "") return Result.ok({});
  try {
    const body: unknown = JSON.parse(text);
    if (typeof body === "object" && body !== null && !Array.isArray(body)) {
      return Result.ok(body as Record<string, unknown>);
    }
  } catch {
    // Handled below: only an answer with status 200 must have a JSON body.
  }
  if (status !== 200) return Result.ok({});
  return Result.err({
    kind: "malformed",
    message: "Answer is not a JSON object",
  });
}

/** Error codes of failed connection attempts, after which nothing was sent. */
const UNREACHABLE = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function toCallFailure(error: unknown): CallFailure {
  const code = (error as { code?: string }).code ?? "";
  const message = error instanceof Error ? error.message : String(error);
  const kind = UNREACHABLE.has(code) ? "unreachable" : "no_answer";
  return { kind, message: code ? `${code}: ${message}` : message };
}
