/** Collects the bytes of a body that arrives in chunks. */

/** Largest size of a block. */
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Copies chunks into blocks, so that the memory in use is in proportion to the bytes collected. A kept
 * chunk would cost an object of its own, and hold the whole buffer that it is a view of.
 */
export class ByteCollector {
  readonly #blocks: Buffer[] = [];
  /** Bytes that are in use in the last block. */
  #usedBytes = 0;
  #sizeBytes = 0;

  private constructor() {}

  /** @returns A collector without bytes. */
  static create(): ByteCollector {
    return new ByteCollector();
  }

  /** Number of bytes collected. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Size of the memory in use. */
  get capacityBytes(): number {
    return this.#blocks.reduce((sum, block) => sum + block.length, 0);
  }

  /** All bytes; valid until the next change. */
  get bytes(): Buffer {
    const [first] = this.#blocks;
    return first && this.#blocks.length === 1
      ? first.subarray(0, this.#sizeBytes)
      : Buffer.concat(this.#blocks, this.#sizeBytes);
  }

  /** @param chunk Bytes to add; they are copied. */
  push(chunk: Buffer): void {
    let at = 0;
    while (at < chunk.length) {
      const block = this.#blockWithRoom(chunk.length - at);
      const copiedBytes = chunk.copy(block, this.#usedBytes, at);
      this.#usedBytes += copiedBytes;
      this.#sizeBytes += copiedBytes;
      at += copiedBytes;
    }
  }

  /** @returns All bytes, of which none are collected any more. */
  take(): Buffer {
    const { bytes } = this;
    this.clear();
    return bytes;
  }

  /** Drops all bytes. */
  clear(): void {
    this.#blocks.length = 0;
    this.#usedBytes = 0;
    this.#sizeBytes = 0;
  }

  #blockWithRoom(chunkBytes: number): Buffer {
    const last = this.#blocks.at(-1);
    if (last && this.#usedBytes < last.length) return last;
    const wantedBytes = Math.max(chunkBytes, this.#sizeBytes);
    const block = Buffer.allocUnsafeSlow(
      Math.min(wantedBytes, MAX_BLOCK_BYTES),
    );
    this.#blocks.push(block);
    this.#usedBytes = 0;
    return block;
  }
}
