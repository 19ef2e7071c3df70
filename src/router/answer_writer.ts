/** Writes to a client what the runs of its request answer. */
import { answerHeaders } from "../platform/mod.ts";
import type { Progress, Send } from "./attempt.ts";
import type { AnswerPart } from "./read_answer.ts";
import type { AnswerSink } from "./request.ts";

/** Where an answer goes. */
export interface AnswerWriterTask {
  sink: AnswerSink;
  progress: Progress;
}

/** Writes one request's answer. */
export class AnswerWriter {
  readonly #task: AnswerWriterTask;
  /** A failure of a server's own, which is better than none. */
  #failure: { send: Send; body: Buffer } | undefined;

  private constructor(task: AnswerWriterTask) {
    this.#task = task;
  }

  /**
   * @param task Where the answer goes.
   * @returns A writer that has written nothing.
   */
  static create(task: AnswerWriterTask): AnswerWriter {
    return new AnswerWriter(task);
  }

  /**
   * @param send Whose events they are.
   * @param events Whole events behind the last one.
   */
  async events(
    send: Send,
    { bytes, lastEventId }: Extract<AnswerPart, { kind: "events" }>,
  ): Promise<void> {
    const { sink, progress } = this.#task;
    this.#begin(send);
    progress.lastEventId = lastEventId ?? progress.lastEventId;
    await sink.write(bytes);
  }

  /** @param send Whose stream is complete. */
  endOfStream(send: Send): void {
    this.#begin(send);
    this.#task.sink.end();
  }

  /**
   * @param send Whose answer it is.
   * @param body All of it.
   */
  whole({ answer }: Send, body: Buffer): void {
    const { head } = answer!;
    this.#task.sink.send(head.status, answerHeaders(head.headers), body);
  }

  /**
   * @param send Whose failure is kept in case no other answer comes.
   * @param body All of it.
   */
  keepFailure(send: Send, body: Buffer): void {
    this.#failure = { send, body };
  }

  /** @returns Status of the failure that was kept and is written now; nothing if there is none. */
  failure(): number | undefined {
    if (!this.#failure || this.#task.progress.begun) return undefined;
    const { send, body } = this.#failure;
    this.whole(send, body);
    return send.answer!.head.status;
  }

  #begin({ answer }: Send): void {
    const { sink, progress } = this.#task;
    if (progress.begun) return;
    progress.begun = true;
    const { head } = answer!;
    sink.begin(head.status, answerHeaders(head.headers));
  }
}
