/** Streams the answer of one run as server-sent events. */
import type { ServerResponse } from "node:http";
import type { RunSink } from "./_engine_scheduler.ts";

/** Contents and faults of an {@link EngineStream}. */
export interface EngineStreamOptions {
  api: "chat" | "text";
  requestId: string;
  model: string;
  /** Weights version and engine incarnation, sent as the system fingerprint. */
  fingerprint: string;
  tokens: string[];
  promptTokens: number;
  /** Number of tokens after which the run stalls; negative: never. */
  stallAfterPieces: number;
  /** Number of tokens after which the connection is closed; negative: never. */
  cutAfterPieces: number;
}

/** Writes tokens as completion chunks in the format of OpenAI's API. */
export class EngineStream implements RunSink {
  readonly #response: ServerResponse;
  readonly #options: EngineStreamOptions;
  /** The part of an event before its `choices`, which is the same for all events. */
  readonly #eventPrefix: string;
  #pieces = 0;

  private constructor(response: ServerResponse, options: EngineStreamOptions) {
    this.#response = response;
    this.#options = options;
    this.#eventPrefix = buildEventPrefix(options);
  }

  /**
   * @param response Response to write to; its headers are sent immediately.
   * @param options Contents and faults.
   * @returns A stream without events.
   */
  static create(
    response: ServerResponse,
    options: EngineStreamOptions,
  ): EngineStream {
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-cache",
    });
    response.flushHeaders();
    return new EngineStream(response, options);
  }

  emit(from: number, to: number): void {
    let text = "";
    for (let index = from; index < to; index++) {
      if (this.#hasReachedFault()) break;
      this.#pieces++;
      text += this.#formatEvent(this.#options.tokens[index]!, "null");
    }
    if (text !== "") this.#response.write(text);
    this.#cutIfReached();
  }

  end(cachedTokens: number): void {
    if (this.#hasReachedFault()) return;
    const last = this.#formatEvent("", `"stop"`);
    const usage = `${this.#eventPrefix}"choices":[],"usage":${
      this.#formatUsage(cachedTokens)
    }}\n\n`;
    this.#response.end(`${last}${usage}data: [DONE]\n\n`);
  }

  #hasReachedFault(): boolean {
    const { stallAfterPieces, cutAfterPieces } = this.#options;
    return isReached(stallAfterPieces, this.#pieces) ||
      isReached(cutAfterPieces, this.#pieces);
  }

  #cutIfReached(): void {
    if (!isReached(this.#options.cutAfterPieces, this.#pieces)) return;
    // Ends without the final event, like a proxy that lost its connection to the server.
    this.#response.end();
  }

  #formatEvent(token: string, finishReason: string): string {
    const content = this.#options.api === "chat"
      ? `"delta":{"content":${JSON.stringify(token)}}`
      : `"text":${JSON.stringify(token)}`;
    const choice = `{"index":0,${content},"finish_reason":${finishReason}}`;
    return `${this.#eventPrefix}"choices":[${choice}]}\n\n`;
  }

  #formatUsage(cachedTokens: number): string {
    const { promptTokens, tokens } = this.#options;
    return JSON.stringify({
      prompt_tokens: promptTokens,
      completion_tokens: tokens.length,
      total_tokens: promptTokens + tokens.length,
      prompt_tokens_details: { cached_tokens: cachedTokens },
    });
  }
}

function buildEventPrefix(options: EngineStreamOptions): string {
  const kind = options.api === "chat"
    ? "chat.completion.chunk"
    : "text_completion";
  const fields = JSON.stringify({
    id: options.requestId,
    object: kind,
    created: Math.floor(Date.now() / 1000),
    model: options.model,
    system_fingerprint: options.fingerprint,
  });
  return `data: ${fields.slice(0, -1)},`;
}

function isReached(limit: number, pieces: number): boolean {
  return limit >= 0 && pieces >= limit;
}
