/** A condition variable for promises. */

/** A condition variable: {@link ConditionVariable.notify} ends all waits that started before it. */
export class ConditionVariable {
  #waiters: (() => void)[] = [];

  private constructor() {}

  /** @returns A condition variable without waits. */
  static create(): ConditionVariable {
    return new ConditionVariable();
  }

  /** @returns Resolves at the next call of {@link ConditionVariable.notify}. */
  wait(): Promise<void> {
    return new Promise((resolve) => this.#waiters.push(resolve));
  }

  /** Ends all current waits. */
  notify(): void {
    if (this.#waiters.length === 0) return;
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const resolve of waiters) resolve();
  }
}
