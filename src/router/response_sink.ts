/** Writes a response to a client's connection. */
import type { ServerResponse } from "node:http";
import type { AnswerSink, SinkHead } from "./request.ts";

/** Response to a client over HTTP. */
export class ResponseSink implements AnswerSink {
  readonly #response: ServerResponse;
  readonly #isDraining: () => boolean;
  #gone = false;
  /** The answer that was started declares its end. */
  #isFramed = true;

  /**
   * @param response Node's response object, to which everything is written.
   * @param isDraining Whether the connection is to be closed after the response.
   */
  constructor(response: ServerResponse, isDraining: () => boolean) {
    this.#response = response;
    this.#isDraining = isDraining;
    response.once("close", () => {
      if (!response.writableFinished) this.#gone = true;
    });
    response.on("error", () => {
      this.#gone = true;
    });
  }

  get gone(): boolean {
    return this.#gone;
  }

  onGone(listener: () => void): void {
    if (this.#gone) return listener();
    this.#response.once("close", () => {
      if (this.#gone) listener();
    });
  }

  begin(head: SinkHead): void {
    this.#writeHead(head, head.headers);
  }

  async write(bytes: Buffer): Promise<void> {
    if (this.#gone || this.#response.write(bytes)) return;
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
    this.#response.end();
  }

  abortAnswer(): void {
    // Without a declared end, an orderly close would end the answer; only a reset aborts it.
    if (!this.#isFramed) this.#response.socket?.resetAndDestroy();
    this.#response.destroy();
  }

  send(head: SinkHead, body: Buffer): void {
    if (this.#gone) return;
    const { status, headers, isFramed = true } = head;
    // Responses with these statuses have no body and must not declare a length.
    const isBodiless = status === 204 || status === 304;
    const length = isBodiless || !isFramed
      ? []
      : ["content-length", String(body.length)];
    this.#writeHead(head, [...headers, ...length]);
    this.#response.end(body);
  }

  #writeHead({ status, isFramed = true }: SinkHead, headers: string[]): void {
    const response = this.#response;
    this.#isFramed = isFramed;
    if (!isFramed) response.useChunkedEncodingByDefault = false;
    if (!isFramed || this.#isDraining()) response.shouldKeepAlive = false;
    response.writeHead(status, headers);
  }
}
