/** Tracks the readers of runs. A reader that reconnects replaces its previous connection. */
import type { Clock } from "../base/mod.ts";
import type { StartRun } from "../wire/gen/cicadahitch.ts";
import { Attachment } from "./attachment.ts";
import type { Run } from "./run.ts";

/** Options of {@link Attachments}. */
export interface AttachmentsOptions {
  agentIncarnation: string;
  clock: Clock;
}

/** Attached readers by the run id in their start message. */
export class Attachments {
  readonly #options: AttachmentsOptions;
  readonly #attachments = new Map<string, Attachment>();

  private constructor(options: AttachmentsOptions) {
    this.#options = options;
  }

  /**
   * @param options Incarnation of this agent, and its clock.
   * @returns An empty registry.
   */
  static create(options: AttachmentsOptions): Attachments {
    return new Attachments(options);
  }

  /** Number of connections that read a run. */
  get size(): number {
    return this.#attachments.size;
  }

  /**
   * Attaches a reader to a run.
   *
   * @param run A run whose output is still kept.
   * @param start The reader's first message.
   * @param isRepeated True if another request started the run.
   * @returns The attachment, or undefined if pieces that the reader needs were dropped.
   */
  attach(
    run: Run,
    start: StartRun,
    { isRepeated }: { isRepeated: boolean },
  ): Attachment | undefined {
    const { agentIncarnation, clock } = this.#options;
    const readerId = start.ask?.runId ?? run.runId;
    // A reader that reconnects has abandoned its previous connection.
    const previous = this.#attachments.get(readerId);
    if (previous) this.detach(previous);
    const reader = run.output.addReader(start.nextSeq, start.windowPieces);
    if (!reader) return undefined;
    const attachment = Attachment.create({
      run,
      reader,
      readerId,
      isRepeated,
      agentIncarnation,
    });
    run.lastReadMs = clock.nowMs();
    this.#attachments.set(readerId, attachment);
    return attachment;
  }

  /** @param attachment The attachment of a reader that disconnected or was replaced. */
  detach(attachment: Attachment): void {
    attachment.detach(this.#options.clock.nowMs());
    if (this.#attachments.get(attachment.readerId) === attachment) {
      this.#attachments.delete(attachment.readerId);
    }
  }
}
