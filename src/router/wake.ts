/** Lets a task wait for whichever of several sources has something first. */

/** One waiting task. */
export class Wake {
  #settle: (() => void) | undefined;

  private constructor() {}

  /** @returns A wake for which nobody waits. */
  static create(): Wake {
    return new Wake();
  }

  /** Something is there: the task goes on. */
  notify(): void {
    this.#settle?.();
  }

  /**
   * @param waitMs Longest time to wait.
   * @returns Resolves with the next {@link Wake.notify}, or when the time is over.
   */
  wait(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      let turn: NodeJS.Immediate | undefined;
      const settle = () => {
        clearTimeout(timer);
        clearImmediate(turn);
        this.#settle = undefined;
        resolve();
      };
      // Timers run before sockets are read: in a process that stood still something may be there already.
      const readThenSettle = () => turn = setImmediate(settle);
      const timer = setTimeout(readThenSettle, Math.max(0, waitMs));
      this.#settle = settle;
    });
  }
}
