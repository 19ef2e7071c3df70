/** Lets one task wait for the first notification from several sources. */

/** Wake-up signal of one task. */
export class WakeSignal {
  #settle: (() => void) | undefined;

  private constructor() {}

  /** @returns A signal on which no task waits. */
  static create(): WakeSignal {
    return new WakeSignal();
  }

  /** Wakes the waiting task; without one, does nothing. */
  notify(): void {
    this.#settle?.();
  }

  /**
   * @param waitMs Timeout.
   * @returns Resolves at the next {@link WakeSignal.notify} or after the timeout.
   */
  wait(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      let immediate: NodeJS.Immediate | undefined;
      const settle = () => {
        clearTimeout(timer);
        clearImmediate(immediate);
        this.#settle = undefined;
        resolve();
      };
      // Node runs expired timers before it reads sockets, so after a pause of the process unread data
      // may be waiting: it is read before the task continues.
      const settleAfterRead = () => immediate = setImmediate(settle);
      const timer = setTimeout(settleAfterRead, Math.max(0, waitMs));
      this.#settle = settle;
    });
  }
}
