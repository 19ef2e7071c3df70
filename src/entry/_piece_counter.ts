/** Counts the received pieces of a run and decides when to acknowledge them. */

const ACKS_PER_WINDOW = 4;
const MAX_UNACKED_BYTES = 16 * 1024;

/** Counter of received and acknowledged pieces. */
export class PieceCounter {
  readonly #ackEvery: number;
  #nextSeq = 0;
  #ackedSeq = 0;
  #unackedBytes = 0;

  private constructor(windowPieces: number) {
    this.#ackEvery = Math.max(1, Math.floor(windowPieces / ACKS_PER_WINDOW));
  }

  /**
   * @param windowPieces Number of pieces an agent may send beyond the last acknowledged one.
   * @returns A counter at zero.
   */
  static create(windowPieces: number): PieceCounter {
    return new PieceCounter(windowPieces);
  }

  /** Sequence number of the next missing piece. */
  get nextSeq(): number {
    return this.#nextSeq;
  }

  /** @param data The next pieces, in order. */
  add(data: Buffer[]): void {
    this.#nextSeq += data.length;
    for (const piece of data) this.#unackedBytes += piece.length;
  }

  /** @returns Whether an acknowledgement is due; if so, it is recorded as sent. */
  takeDueAck(): boolean {
    const isDue = this.#nextSeq - this.#ackedSeq >= this.#ackEvery ||
      this.#unackedBytes >= MAX_UNACKED_BYTES;
    if (isDue) this.markAcknowledged();
    return isDue;
  }

  /** Records that all pieces so far have been acknowledged. */
  markAcknowledged(): void {
    this.#ackedSeq = this.#nextSeq;
    this.#unackedBytes = 0;
  }
}
