/** Writes a response to a client's connection. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ExitReset } from "../base/exit_reset.ts";
import { echoHeaders } from "../platform/mod.ts";
import { HeldAnswers } from "./held_answers.ts";
import type { AnswerSink, SinkHead } from "./request.ts";

/** Time for a client to take what was written before its answer is aborted. */
const FLUSH_TIMEOUT_MS = 1000;

/** Responses without a declared end, which end with their connection. */
const withoutDeclaredEnd = new WeakSet<ServerResponse>();

/**
 * Closes a connection whose response has not been delivered whole. Without a declared end, an orderly
 * close would end the response; only a reset aborts it.
 *
 * @param response The response.
 */
export function abortResponse(response: ServerResponse): void {
  if (withoutDeclaredEnd.has(response)) response.socket?.resetAndDestroy();
  response.destroy();
}

/**
 * Answers 502 to a request that nothing has answered, and closes its connection; a response that was
 * begun is aborted.
 *
 * @param response The response.
 * @param requestId Id of the request.
 */
export function endUnanswered(
  response: ServerResponse,
  requestId: string,
): void {
  if (response.headersSent) return abortResponse(response);
  response.shouldKeepAlive = false;
  const headers = [...echoHeaders(requestId), "content-length", "0"];
  response.writeHead(502, headers).end();
}

/** Response to a client over HTTP. */
export class ResponseSink implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #isDraining: () => boolean;
  readonly #held: HeldAnswers;
  #gone = false;
  /** The whole response was handed over through this object. */
  #isEnded = false;
  /** Protects a response without a declared end; its bytes are written only after that. */
  #protection: Promise<ExitReset | undefined> | undefined;
  /** Resolves when the last part that was written is with the kernel. */
  #flushed: Promise<void> | undefined;

  /**
   * @param response Node's response object, to which everything is written.
   * @param isDraining Whether the connection is to be closed after the response.
   * @param held Whole answers that clients have not taken.
   */
  constructor(
    response: ServerResponse,
    isDraining: () => boolean,
    held: HeldAnswers,
  ) {
    this.#response = response;
    this.#isDraining = isDraining;
    this.#held = held;
    response.once("close", () => {
      if (!response.writableFinished) this.#gone = true;
    });
    response.on("error", () => {
      this.#gone = true;
    });
  }

  /** Also true once the response was ended in place of this object, see {@link endUnanswered}. */
  get gone(): boolean {
    return this.#gone || (this.#response.writableEnded && !this.#isEnded);
  }

  onGone(listener: () => void): void {
    if (this.#gone) return listener();
    this.#response.once("close", () => {
      if (this.#gone) listener();
    });
  }

  begin(head: SinkHead): void {
    this.#writeHead(head, head.headers);
    // Clients of HTTP/1.0 get no chunks.
    const response = this.#response;
    if (!response.chunkedEncoding) this.#endWithConnection();
  }

  async write(bytes: Buffer): Promise<void> {
    if (this.#protection) await this.#protection;
    if (this.#gone) return;
    const hasRoom = this.#protection
      ? this.#writeTracked(bytes)
      : this.#response.write(bytes);
    if (hasRoom) return;
    const response = this.#response;
    await new Promise<void>((resolve) => {
      const settle = () => {
        response.off("drain", settle);
        response.off("close", settle);
        resolve();
      };
      response.once("drain", settle);
      response.once("close", settle);
    });
  }

  end(): void {
    this.#isEnded = true;
    if (this.#protection) void this.#endProtected(this.#protection);
    else this.#response.end();
  }

  abortAnswer(): void {
    const response = this.#response;
    if (withoutDeclaredEnd.has(response) || response.writableNeedDrain) {
      return abortResponse(response);
    }
    // What was written before is delivered; the missing length or last chunk shows the abort.
    response.socket?.destroySoon();
    setTimeout(() => response.destroy(), FLUSH_TIMEOUT_MS).unref();
  }

  send(head: SinkHead, body: Buffer): void {
    if (this.gone) return;
    this.#isEnded = true;
    const { status, headers, isFramed = true } = head;
    // Responses with these statuses have no body and must not declare a length.
    const isBodiless = status === 204 || status === 304;
    const length = isBodiless || !isFramed
      ? []
      : ["content-length", String(body.length)];
    this.#writeHead(head, [...headers, ...length]);
    if (isFramed) {
      this.#response.end(body);
      this.#held.add(this.#response);
    } else void this.#sendProtected(body);
  }

  /** The response ends with its connection. */
  #endWithConnection(): void {
    withoutDeclaredEnd.add(this.#response);
    this.#protection ??= this.#protect();
  }

  async #protect(): Promise<ExitReset | undefined> {
    const socket = await connectionOf(this.#response);
    return socket && ExitReset.create(socket);
  }

  async #sendProtected(body: Buffer): Promise<void> {
    await this.#protection;
    if (this.#gone) return;
    this.#writeTracked(body);
    this.#held.add(this.#response);
    this.end();
  }

  /** Ends a response once the kernel has all of it: it then delivers it even if this process is killed. */
  async #endProtected(
    protection: Promise<ExitReset | undefined>,
  ): Promise<void> {
    const reset = await protection;
    await this.#flushed;
    if (this.#gone) return;
    reset?.release();
    this.#response.end();
  }

  /** Writes a part whose arrival at the kernel is awaited before the end; returns whether there is room. */
  #writeTracked(bytes: Buffer): boolean {
    let hasRoom = true;
    this.#flushed = new Promise((resolve) => {
      this.#response.once("close", resolve);
      hasRoom = this.#response.write(bytes, () => {
        this.#response.off("close", resolve);
        resolve();
      });
    });
    return hasRoom;
  }

  #writeHead({ status, isFramed = true }: SinkHead, headers: string[]): void {
    const response = this.#response;
    if (!isFramed) response.useChunkedEncodingByDefault = false;
    if (!isFramed || this.#isDraining()) response.shouldKeepAlive = false;
    response.writeHead(status, headers);
    if (!isFramed) this.#endWithConnection();
  }
}

/**
 * Returns the connection once the response is its next one: a pipelined request's response waits for
 * those before it, and is never closed if the connection closes first.
 */
function connectionOf(response: ServerResponse): Promise<Socket | undefined> {
  const { socket, req } = response;
  if (socket) return Promise.resolve(socket);
  return new Promise((resolve) => {
    response.once("socket", resolve);
    req.socket.once("close", () => resolve(undefined));
  });
}
