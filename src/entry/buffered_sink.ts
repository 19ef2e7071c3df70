/** Sends an answer that is not streamed: a single JSON body assembled from the run's pieces. */
import type { ServerResponse } from "node:http";
import type { RunEnd, RunHead } from "../wire/gen/cicadahitch.ts";
import { type AnswerSink, writeFailure } from "./answer_sink.ts";
import { AnswerAssembler } from "./assemble.ts";
import { Execution, type RequestFailure } from "./errors.ts";
import type { PromptAPI } from "../placement/mod.ts";

/** Buffers the answer until it is complete. */
export class BufferedSink implements AnswerSink {
  readonly isCommitted = false;
  readonly #response: ServerResponse;
  readonly #api: PromptAPI;
  #assembler: AnswerAssembler;

  private constructor(response: ServerResponse, api: PromptAPI) {
    this.#response = response;
    this.#api = api;
    this.#assembler = AnswerAssembler.create(api);
  }

  /**
   * @param response The caller's HTTP response.
   * @param api The API whose answer format is used.
   * @returns An empty sink.
   */
  static create(response: ServerResponse, api: PromptAPI): BufferedSink {
    return new BufferedSink(response, api);
  }

  reset(): void {
    this.#assembler = AnswerAssembler.create(this.#api);
  }

  head(_head: RunHead): void {}

  pieces(data: Buffer[]): undefined {
    for (const piece of data) this.#assembler.add(piece);
  }

  finish(end: RunEnd): RequestFailure | undefined {
    return this.#assembler.finish(end).match({
      Ok: (answer) => {
        const body = Buffer.from(JSON.stringify(answer));
        this.#response.writeHead(200, {
          "content-type": "application/json; charset=utf-8",
          "content-length": body.length,
        });
        this.#response.end(body);
        return undefined;
      },
      Err: ({ message }) => {
        const failure: RequestFailure = {
          code: "run_failed",
          message,
          execution: Execution.Ran,
        };
        this.fail(failure);
        return failure;
      },
    });
  }

  fail(failure: RequestFailure): void {
    writeFailure(this.#response, failure);
  }
}
