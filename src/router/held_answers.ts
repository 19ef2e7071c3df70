/** Bounds the bytes of whole answers that clients have not taken yet. */
import type { ServerResponse } from "node:http";

/** Options of {@link HeldAnswers}. */
export interface HeldAnswersOptions {
  /** Most bytes that are held for all clients together. */
  maxBytes: number;
  /** Closes the connection of an answer that was not delivered whole. */
  abort(response: ServerResponse): void;
}

/** Answers that were ended and that their clients have not taken whole. */
export class HeldAnswers {
  readonly #options: HeldAnswersOptions;
  /** The oldest answer comes first. */
  readonly #responses = new Set<ServerResponse>();

  private constructor(options: HeldAnswersOptions) {
    this.#options = options;
  }

  /**
   * @param options Limit, and how an answer is aborted.
   * @returns A set without answers.
   */
  static create(options: HeldAnswersOptions): HeldAnswers {
    return new HeldAnswers(options);
  }

  /** Bytes that are held now. */
  get bytes(): number {
    let bytes = 0;
    for (const { writableLength } of this.#responses) bytes += writableLength;
    return bytes;
  }

  /**
   * Adds an answer, and aborts the oldest ones if too many bytes are held: their clients have had most
   * time to take them. The newest answer is kept.
   *
   * @param response An answer that was ended.
   */
  add(response: ServerResponse): void {
    if (response.writableFinished || response.destroyed) return;
    this.#responses.add(response);
    response.once("close", () => this.#responses.delete(response));
    for (const oldest of this.#responses) {
      if (oldest === response || this.bytes <= this.#options.maxBytes) return;
      this.#responses.delete(oldest);
      this.#options.abort(oldest);
    }
  }
}
