/** Bounds the bytes of incomplete answers that this process buffers for all requests together. */
import { DEFAULT_SHARES } from "../base/memory_shares.ts";

/** Options of {@link AnswerBuffers}. */
export interface AnswerBuffersOptions {
  /** Most bytes that are buffered for all answers together. */
  maxBytes: number;
}

/** The answer for which bytes are buffered. */
export interface BufferOwner {
  /** The server that sends the answer. */
  serverId: string;
  /** Called when the buffer was dropped; frees its bytes and stops the answer. */
  onDropped(): void;
}

/** Size of one answer's buffer. */
export class AnswerBuffer {
  readonly owner: BufferOwner;
  readonly #onResized: (buffer: AnswerBuffer, addedBytes: number) => void;
  #sizeBytes = 0;
  #isDropped = false;

  private constructor(
    owner: BufferOwner,
    onResized: (buffer: AnswerBuffer, addedBytes: number) => void,
  ) {
    this.owner = owner;
    this.#onResized = onResized;
  }

  /**
   * @param owner The answer.
   * @param onResized Called after each change of the size.
   * @returns An empty buffer.
   */
  static create(
    owner: BufferOwner,
    onResized: (buffer: AnswerBuffer, addedBytes: number) => void,
  ): AnswerBuffer {
    return new AnswerBuffer(owner, onResized);
  }

  /** Bytes that are buffered. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Whether the answer can't be completed, as its bytes had to be dropped. */
  get isDropped(): boolean {
    return this.#isDropped;
  }

  /** @param sizeBytes Bytes that are buffered now. This buffer or others may be dropped for it. */
  resize(sizeBytes: number): void {
    if (this.#isDropped) return;
    const addedBytes = sizeBytes - this.#sizeBytes;
    this.#sizeBytes = sizeBytes;
    this.#onResized(this, addedBytes);
  }

  /** Drops the bytes. */
  drop(): void {
    this.resize(0);
    this.#isDropped = true;
    this.owner.onDropped();
  }
}

/** The buffers of all answers. */
export class AnswerBuffers {
  readonly #maxBytes: number;
  /** Buffers that are not empty. */
  readonly #used = new Set<AnswerBuffer>();
  #totalBytes = 0;

  private constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /**
   * @param options Limit, if it differs from the default.
   * @returns An object without buffers.
   */
  static create(
    { maxBytes = DEFAULT_SHARES.answerBytes }: Partial<AnswerBuffersOptions> =
      {},
  ): AnswerBuffers {
    return new AnswerBuffers(maxBytes);
  }

  /** Bytes that are buffered for all answers. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /**
   * @param owner The answer.
   * @returns An empty buffer, which must be resized to 0 when its bytes are no longer kept.
   */
  open(owner: BufferOwner): AnswerBuffer {
    return AnswerBuffer.create(owner, (buffer, addedBytes) => {
      this.#totalBytes += addedBytes;
      if (buffer.sizeBytes === 0) this.#used.delete(buffer);
      else this.#used.add(buffer);
      while (this.#totalBytes > this.#maxBytes) this.#dropLargest();
    });
  }

  /**
   * Drops the largest buffer of the server for which most bytes are buffered, so that a server whose
   * answers have no end doesn't cost the answers of others.
   */
  #dropLargest(): void {
    const bytesByServer = new Map<string, number>();
    for (const { owner: { serverId }, sizeBytes } of this.#used) {
      const sum = (bytesByServer.get(serverId) ?? 0) + sizeBytes;
      bytesByServer.set(serverId, sum);
    }
    const [largest] = [...this.#used].sort((a, b) =>
      bytesByServer.get(b.owner.serverId)! -
        bytesByServer.get(a.owner.serverId)! || b.sizeBytes - a.sizeBytes
    );
    largest!.drop();
  }
}
