/** How long a run's reader waits for its agent, and how fast it attaches again. */

/** Times of an {@link AttachPace}. */
export interface AttachPaceOptions {
  progressMs: number;
  probeMs: number;
}

const MAX_WAIT_FACTOR = 8;
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 2000;

/** Waits and pauses that grow while nothing comes; all are bounded. */
export class AttachPace {
  readonly #options: AttachPaceOptions;
  #pieceWaitMs: number;
  #silences = 0;
  #breaks = 0;

  private constructor(options: AttachPaceOptions) {
    this.#options = options;
    this.#pieceWaitMs = options.progressMs;
  }

  /**
   * @param options Shortest waits.
   * @returns The pace of a run that has just been sent.
   */
  static create(options: AttachPaceOptions): AttachPace {
    return new AttachPace(options);
  }

  /** Silences since the agent last said that it has the run. */
  get silences(): number {
    return this.#silences;
  }

  /** How long pieces may take on a connection on which the agent has answered. */
  get pieceWaitMs(): number {
    return this.#pieceWaitMs;
  }

  /**
   * @param isProbe Whether the run was attached to on a connection that is in use already.
   * @returns How long the agent may take to answer an attach.
   */
  answerWaitMs({ isProbe }: { isProbe: boolean }): number {
    const { probeMs, progressMs } = this.#options;
    if (isProbe) return probeMs;
    const doublings = Math.max(0, this.#silences - 1);
    return progressMs * Math.min(2 ** doublings, MAX_WAIT_FACTOR);
  }

  /** The agent says that it has the run. */
  answered(): void {
    this.#silences = 0;
  }

  /** The run goes on. */
  progressed(): void {
    this.#breaks = 0;
    this.#pieceWaitMs = this.#options.progressMs;
  }

  /** Nothing came in time, or the connection ended. */
  silent(): void {
    this.#silences++;
  }

  /** No piece came in time from an agent that has the run: its engine may be slow. */
  slow(): void {
    const longestMs = this.#options.progressMs * MAX_WAIT_FACTOR;
    this.#pieceWaitMs = Math.min(this.#pieceWaitMs * 2, longestMs);
  }

  /** @returns How long to pause before the run is attached to after a connection that failed. */
  takePauseMs(): number {
    const pauseMs = this.#breaks === 0
      ? 0
      : FIRST_PAUSE_MS * 2 ** (this.#breaks - 1);
    this.#breaks++;
    return Math.min(pauseMs, MAX_PAUSE_MS);
  }
}
