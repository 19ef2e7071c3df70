/** Tracks the order in which a server starts responses, to tell whether a request is still queued. */

/** Properties of a request that determine its position in a server's queue. */
export interface QueuedRequest {
  sentAtMs: number;
  /** 0 is served first. */
  priority: number;
}

/** Responses that one server has started. */
export class AnswerOrder {
  #lastStartAtMs = -Infinity;
  /** By priority: latest send time of the requests whose response has started. */
  readonly #lastSentAtMs = new Map<number, number>();

  private constructor() {}

  /** @returns The state of a server that has not responded yet. */
  static create(): AnswerOrder {
    return new AnswerOrder();
  }

  /**
   * Records that the server has started a response.
   *
   * @param request Request that is answered.
   * @param nowMs Current time.
   */
  recordStart({ sentAtMs, priority }: QueuedRequest, nowMs: number): void {
    this.#lastStartAtMs = nowMs;
    const lastMs = this.#lastSentAtMs.get(priority) ?? -Infinity;
    this.#lastSentAtMs.set(priority, Math.max(lastMs, sentAtMs));
  }

  /**
   * @param request Request without a response.
   * @returns Whether the request is probably queued behind others: the server has started responses
   * since it was sent, and none for a later request of the same or a less urgent priority.
   */
  isQueued({ sentAtMs, priority }: QueuedRequest): boolean {
    if (this.#lastStartAtMs < sentAtMs) return false;
    for (const [other, startedSentAtMs] of this.#lastSentAtMs) {
      if (other >= priority && startedSentAtMs > sentAtMs) return false;
    }
    return true;
  }
}
