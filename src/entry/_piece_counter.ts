/** Counts the pieces of a run, and says when they are to be acknowledged. */

const ACK_SHARE = 4;
const ACK_BYTES = 16 * 1024;

/** Pieces that were received and acknowledged. */
export class PieceCounter {
  readonly #ackEvery: number;
  #nextSeq = 0;
  #ackedSeq = 0;
  #unackedBytes = 0;

  private constructor(windowPieces: number) {
    this.#ackEvery = Math.max(1, Math.floor(windowPieces / ACK_SHARE));
  }

  /**
   * @param windowPieces Pieces that an agent may send beyond the last acknowledged one.
   * @returns A counter that has seen none.
   */
  static create(windowPieces: number): PieceCounter {
    return new PieceCounter(windowPieces);
  }

  /** The next piece that is missing. */
  get nextSeq(): number {
    return this.#nextSeq;
  }

  /** @param data The next pieces. */
  add(data: Buffer[]): void {
    this.#nextSeq += data.length;
    for (const piece of data) this.#unackedBytes += piece.length;
  }

  /** @returns Whether an acknowledgement is due; it then counts as sent. */
  takeDue(): boolean {
    const isDue = this.#nextSeq - this.#ackedSeq >= this.#ackEvery ||
      this.#unackedBytes >= ACK_BYTES;
    if (isDue) this.acknowledged();
    return isDue;
  }

  /** All pieces so far have been acknowledged. */
  acknowledged(): void {
    this.#ackedSeq = this.#nextSeq;
    this.#unackedBytes = 0;
  }
}
