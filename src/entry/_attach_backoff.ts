/** Timeouts and backoff for reading a run from its agent and reattaching to it. */

/** Initial timeouts of an {@link AttachBackoff}. */
export interface AttachBackoffOptions {
  /** Timeout of pieces, and of an answer on a new connection, in ms. */
  progressMs: number;
  /** Timeout of an answer on a connection that was already in use, in ms. */
  probeMs: number;
}

const MAX_WAIT_FACTOR = 8;
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 2000;

/** Timeouts and pauses that double, up to a maximum, while the agent does not respond. */
export class AttachBackoff {
  readonly #options: AttachBackoffOptions;
  #pieceWaitMs: number;
  #silences = 0;
  #breaks = 0;

  private constructor(options: AttachBackoffOptions) {
    this.#options = options;
    this.#pieceWaitMs = options.progressMs;
  }

  /**
   * @param options Initial timeouts.
   * @returns The backoff for a run that has just been sent.
   */
  static create(options: AttachBackoffOptions): AttachBackoff {
    return new AttachBackoff(options);
  }

  /** Timeouts and broken connections since the agent last confirmed the run. */
  get silences(): number {
    return this.#silences;
  }

  /** Timeout of the next pieces on a connection on which the agent has confirmed the run. */
  get pieceWaitMs(): number {
    return this.#pieceWaitMs;
  }

  /**
   * @param options Whether the attach was sent on a connection that was already in use.
   * @returns Timeout of the agent's answer to an attach, in ms.
   */
  answerWaitMs({ isProbe }: { isProbe: boolean }): number {
    const { probeMs, progressMs } = this.#options;
    if (isProbe) return probeMs;
    const doublings = Math.max(0, this.#silences - 1);
    return progressMs * Math.min(2 ** doublings, MAX_WAIT_FACTOR);
  }

  /** Records that the agent has confirmed the run. */
  answered(): void {
    this.#silences = 0;
  }

  /** Records progress of the run. */
  progressed(): void {
    this.#breaks = 0;
    this.#pieceWaitMs = this.#options.progressMs;
  }

  /** Records a timeout or the end of the connection. */
  silent(): void {
    this.#silences++;
  }

  /** Doubles the timeout of pieces, since the engine behind a responsive agent may be slow. */
  extendPieceWait(): void {
    const longestMs = this.#options.progressMs * MAX_WAIT_FACTOR;
    this.#pieceWaitMs = Math.min(this.#pieceWaitMs * 2, longestMs);
  }

  /** @returns Backoff before the next reattach after a failed connection, in ms. */
  takePauseMs(): number {
    const pauseMs = this.#breaks === 0
      ? 0
      : FIRST_PAUSE_MS * 2 ** (this.#breaks - 1);
    this.#breaks++;
    return Math.min(pauseMs, MAX_PAUSE_MS);
  }
}
