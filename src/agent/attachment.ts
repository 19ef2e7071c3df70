/** Sends the output of a run to one connection, batching the pieces that have arrived. */
import { setImmediate as afterInput } from "node:timers/promises";
import type { RunDown } from "../wire/gen/cicadahitch.ts";
import type { Run } from "./run.ts";
import type { OutputReader } from "./run_output.ts";

/** Receives the messages of an {@link Attachment}. */
export interface RunSink {
  /**
   * @param message The next message.
   * @returns Resolves when the next message may be sent.
   */
  send(message: RunDown): void | Promise<void>;
}

/** Options of an {@link Attachment}. */
export interface AttachmentOptions {
  run: Run;
  reader: OutputReader;
  /** Run id in the reader's start message; a repeated request has its own. */
  readerId: string;
  /** True if another request started the run. */
  isRepeated: boolean;
  agentIncarnation: string;
}

const MAX_BATCH_BYTES = 256 * 1024;

/** A reader's connection to a run and its position in the output. */
export class Attachment {
  readonly readerId: string;
  readonly run: Run;
  readonly #options: AttachmentOptions;
  #isDetached = false;
  #isEndSent = false;

  private constructor(options: AttachmentOptions) {
    this.#options = options;
    this.run = options.run;
    this.readerId = options.readerId;
    this.run.attached++;
  }

  /**
   * @param options The run and its reader.
   * @returns An attachment that has not sent anything yet.
   */
  static create(options: AttachmentOptions): Attachment {
    return new Attachment(options);
  }

  get isDetached(): boolean {
    return this.#isDetached;
  }

  /** Stops sending; the run keeps unacknowledged pieces for a reader that reconnects. */
  detach(nowMs: number): void {
    if (this.#isDetached) return;
    this.#isDetached = true;
    this.run.attached--;
    this.run.lastReadMs = nowMs;
    this.run.output.removeReader(this.#options.reader);
  }

  /**
   * Records that the reader received pieces.
   *
   * @param nextSeq All pieces with lower sequence numbers were received.
   * @param nowMs Current time.
   */
  acknowledge(nextSeq: number, nowMs: number): void {
    if (this.#isDetached) return;
    this.run.lastReadMs = nowMs;
    this.run.output.acknowledge(this.#options.reader, nextSeq);
  }

  /** Records that the reader closed its stream; after the end was sent, the end counts as read. */
  markReaderDone(): void {
    if (this.#isEndSent) this.run.isEndRead = true;
  }

  /**
   * Sends the output until its end was sent or the attachment is detached.
   *
   * @param sink Receives the messages.
   */
  async sendOutput(sink: RunSink): Promise<void> {
    const { reader } = this.#options;
    const { output } = this.run;
    await sink.send(this.#buildStartedMessage());
    // A reader that joins after the first piece has already received the head.
    let isHeadDue = reader.nextSeq === 0;
    while (!this.#isDetached) {
      if (isHeadDue && output.head) {
        isHeadDue = false;
        await sink.send({ step: { $case: "head", value: output.head } });
        continue;
      }
      const batch = output.take(reader, MAX_BATCH_BYTES);
      if (batch) {
        await sink.send({
          step: {
            $case: "pieces",
            value: { firstSeq: batch.firstSeq, data: batch.data as Buffer[] },
          },
        });
        continue;
      }
      if (output.ending && reader.nextSeq === output.pieceCount) break;
      await output.changed.wait();
      // Lets pieces from the same network packet share one message.
      await afterInput();
    }
    if (!this.#isDetached) await this.#sendEnding(sink);
  }

  async #sendEnding(sink: RunSink): Promise<void> {
    const { ending } = this.run.output;
    this.#isEndSent = true;
    switch (ending?.kind) {
      case "end":
        return await sink.send({ step: { $case: "end", value: ending.end } });
      case "refused":
        return await sink.send({
          step: { $case: "refusal", value: ending.refusal },
        });
    }
  }

  #buildStartedMessage(): RunDown {
    const { run } = this;
    const { agentIncarnation, isRepeated, readerId } = this.#options;
    return {
      step: {
        $case: "started",
        value: {
          runId: readerId,
          attempt: run.attempt,
          agentIncarnation,
          engineIncarnation: run.engineIncarnation,
          matchedTokens: run.matchedTokens,
          repeated: isRepeated,
        },
      },
    };
  }
}
