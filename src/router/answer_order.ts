/** In which order a server begins its answers: whether a request without one waits for its turn. */

/** What decides about a request's turn at a server. */
export interface QueuedRequest {
  sentAtMs: number;
  /** 0 is served first. */
  priority: number;
}

/** The answers that one server has begun. */
export class AnswerOrder {
  #beganAtMs = -Infinity;
  /** When the request was sent last whose answer has begun, by priority. */
  readonly #sentAtMs = new Map<number, number>();

  private constructor() {}

  /** @returns The order at a server that has not answered yet. */
  static create(): AnswerOrder {
    return new AnswerOrder();
  }

  /**
   * The server began to answer.
   *
   * @param request The request.
   * @param nowMs The time.
   */
  began({ sentAtMs, priority }: QueuedRequest, nowMs: number): void {
    this.#beganAtMs = nowMs;
    const lastMs = this.#sentAtMs.get(priority) ?? -Infinity;
    this.#sentAtMs.set(priority, Math.max(lastMs, sentAtMs));
  }

  /**
   * @param request A request without an answer.
   * @returns Whether it seems to wait for others: answers have begun since it was sent, and none to a
   * request that was sent later and is no more urgent.
   */
  isQueued({ sentAtMs, priority }: QueuedRequest): boolean {
    if (this.#beganAtMs < sentAtMs) return false;
    for (const [other, otherSentAtMs] of this.#sentAtMs) {
      if (other >= priority && otherSentAtMs > sentAtMs) return false;
    }
    return true;
  }
}
