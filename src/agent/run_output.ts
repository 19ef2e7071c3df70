/**
 * The output of one run: numbered pieces, kept until every reader has acknowledged them. The writer
 * waits while the window or the byte limit is used up, so a slow reader causes backpressure on the
 * engine instead of unbounded memory use.
 */
import type { Refusal, RunEnd, RunHead } from "../wire/gen/cicadahitch.ts";
import { ConditionVariable } from "./condition_variable.ts";

/** How a run ended. */
export type RunEnding =
  | { kind: "end"; end: RunEnd }
  /** The run was never sent to the backend server. */
  | { kind: "refused"; refusal: Refusal };

/** Memory limits of an output. */
export interface OutputLimits {
  /** Number of kept bytes at which the writer waits. */
  maxBytes: number;
  /** Answers up to this size are kept after they were read, for repeated requests; 0 keeps none. */
  repeatBytes: number;
}

/** Read position of one reader. */
export interface OutputReader {
  /** The reader has received all pieces before this one. */
  ackedSeq: number;
  /** Number of the next piece to send. */
  nextSeq: number;
  /** Maximum number of sent pieces without acknowledgement. */
  windowPieces: number;
}

/** Consecutive pieces of output. */
export interface PieceBatch {
  firstSeq: number;
  data: Uint8Array[];
}

const DEFAULT_WINDOW_PIECES = 256;
const MAX_WINDOW_PIECES = 4096;

/** Buffers the pieces of a run between its writer and its readers. */
export class RunOutput {
  /** Notified when there is a new head or piece, the run ends, or a reader is removed. */
  readonly changed = ConditionVariable.create();
  readonly #roomAvailable = ConditionVariable.create();
  readonly #limits: OutputLimits;
  readonly #readers = new Set<OutputReader>();
  #pieces: Uint8Array[] = [];
  #firstSeq = 0;
  #ackedSeq = 0;
  #windowPieces = DEFAULT_WINDOW_PIECES;
  #keptBytes = 0;
  #keepsAllPieces: boolean;
  #head: RunHead | undefined;
  #ending: RunEnding | undefined;

  private constructor(limits: OutputLimits) {
    this.#limits = limits;
    this.#keepsAllPieces = limits.repeatBytes > 0;
  }

  /**
   * @param limits Memory limits.
   * @returns An empty output.
   */
  static create(limits: OutputLimits): RunOutput {
    return new RunOutput(limits);
  }

  /** Number of pieces written so far. */
  get pieceCount(): number {
    return this.#firstSeq + this.#pieces.length;
  }

  get keptBytes(): number {
    return this.#keptBytes;
  }

  get head(): RunHead | undefined {
    return this.#head;
  }

  /** Undefined until the run has ended. */
  get ending(): RunEnding | undefined {
    return this.#ending;
  }

  /** True while the writer may append pieces. */
  get hasRoom(): boolean {
    if (this.#keepsAllPieces) return true;
    return this.#keptBytes < this.#limits.maxBytes &&
      this.pieceCount - this.#ackedSeq < this.#windowPieces;
  }

  /** @param head Status and headers of the response. */
  setHead(head: RunHead): void {
    this.#head = head;
    this.changed.notify();
  }

  /** @param data The next piece of output. */
  append(data: Uint8Array): void {
    this.#pieces.push(data);
    this.#keptBytes += data.length;
    if (this.#keepsAllPieces && this.#keptBytes > this.#limits.repeatBytes) {
      this.#keepsAllPieces = false;
      this.#trim();
    }
    this.changed.notify();
  }

  /** @param ending How the run ended; only the first call has an effect. */
  finish(ending: RunEnding): void {
    this.#ending ??= ending;
    this.changed.notify();
    this.#roomAvailable.notify();
  }

  /** @returns Resolves at an acknowledgement, a reader's removal, the run's end or a wake-up. */
  waitForRoom(): Promise<void> {
    return this.#roomAvailable.wait();
  }

  /** Wakes the writer and all readers, so that they check for cancellation. */
  wake(): void {
    this.changed.notify();
    this.#roomAvailable.notify();
  }

  /**
   * @param fromSeq Number of the first piece to read.
   * @param windowPieces Maximum number of sent pieces without acknowledgement; 0 for the default.
   * @returns The reader, or undefined if that piece was discarded or lies beyond the written ones.
   */
  addReader(fromSeq: number, windowPieces: number): OutputReader | undefined {
    if (fromSeq < this.#firstSeq || fromSeq > this.pieceCount) return undefined;
    const window = Math.min(
      windowPieces || DEFAULT_WINDOW_PIECES,
      MAX_WINDOW_PIECES,
    );
    const reader = {
      ackedSeq: fromSeq,
      nextSeq: fromSeq,
      windowPieces: window,
    };
    this.#readers.add(reader);
    this.#windowPieces = Math.max(...[...this.#readers].map(windowOf));
    this.#trim();
    return reader;
  }

  /** @param reader A reader that disconnected; pieces that it did not acknowledge stay kept. */
  removeReader(reader: OutputReader): void {
    this.#readers.delete(reader);
    this.wake();
  }

  /**
   * @param reader The reader that received pieces.
   * @param nextSeq Number of the first piece that the reader has not received.
   */
  acknowledge(reader: OutputReader, nextSeq: number): void {
    if (!this.#readers.has(reader)) return;
    const seq = Math.min(nextSeq, reader.nextSeq);
    if (seq <= reader.ackedSeq) return;
    reader.ackedSeq = seq;
    this.#trim();
    this.wake();
  }

  /**
   * Takes the next batch of pieces for a reader and counts them as sent.
   *
   * @param reader The reader that will receive the pieces.
   * @param maxBytes Size at which the batch ends; it has at least one piece.
   * @returns Available pieces within the reader's window, or undefined if there are none.
   */
  take(reader: OutputReader, maxBytes: number): PieceBatch | undefined {
    const limitSeq = Math.min(
      this.pieceCount,
      reader.ackedSeq + reader.windowPieces,
    );
    if (reader.nextSeq >= limitSeq) return undefined;
    const firstSeq = reader.nextSeq;
    const data: Uint8Array[] = [];
    let sizeBytes = 0;
    while (reader.nextSeq < limitSeq && sizeBytes < maxBytes) {
      const piece = this.#pieces[reader.nextSeq - this.#firstSeq]!;
      data.push(piece);
      sizeBytes += piece.length;
      reader.nextSeq++;
    }
    return { firstSeq, data };
  }

  /** Discards all pieces, once the time to read them again is over. */
  drop(): void {
    this.#firstSeq = this.pieceCount;
    this.#pieces = [];
    this.#keptBytes = 0;
    this.#keepsAllPieces = false;
  }

  #trim(): void {
    let ackedSeq = Infinity;
    for (const reader of this.#readers) {
      if (reader.ackedSeq < ackedSeq) ackedSeq = reader.ackedSeq;
    }
    if (ackedSeq === Infinity) return;
    this.#ackedSeq = Math.max(this.#ackedSeq, ackedSeq);
    if (this.#keepsAllPieces) return;
    const removable = this.#ackedSeq - this.#firstSeq;
    if (removable <= 0) return;
    for (let i = 0; i < removable; i++) {
      this.#keptBytes -= this.#pieces[i]!.length;
    }
    this.#pieces.splice(0, removable);
    this.#firstSeq += removable;
  }
}

function windowOf(reader: OutputReader): number {
  return reader.windowPieces;
}
