/** A clock that advances only when a test advances it. */
import type { Clock } from "../base/mod.ts";

/** A call of `sleep` that has not resolved yet. */
interface PendingSleep {
  dueMs: number;
  wake(): void;
}

/** {@link Clock} for tests in virtual time. */
export class ManualClock implements Clock {
  #nowMs = 0;
  #wallOffsetMs = 0;
  readonly #pending = new Set<PendingSleep>();

  private constructor() {}

  /** @returns A clock whose time is 0. */
  static create(): ManualClock {
    return new ManualClock();
  }

  nowMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return this.#nowMs + this.#wallOffsetMs;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const onAbort = () => {
        this.#pending.delete(pending);
        resolve();
      };
      const wake = () => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      };
      const pending = { dueMs: this.#nowMs + ms, wake };
      this.#pending.add(pending);
      signal?.addEventListener("abort", onAbort, { once: true });
    });
  }

  /**
   * Advances only the wall clock, as after a suspension of the instance.
   *
   * @param ms Time to add.
   */
  advanceWallClock(ms: number): void {
    this.#wallOffsetMs += ms;
  }

  /**
   * Advances both clocks and wakes the sleeps that become due, in order of their due time.
   *
   * @param ms Time to add.
   */
  async advance(ms: number): Promise<void> {
    const untilMs = this.#nowMs + ms;
    await flushPromises();
    for (
      let next = this.#nextDue(untilMs);
      next;
      next = this.#nextDue(untilMs)
    ) {
      this.#nowMs = Math.max(this.#nowMs, next.dueMs);
      this.#pending.delete(next);
      next.wake();
      await flushPromises();
    }
    this.#nowMs = untilMs;
  }

  #nextDue(untilMs: number): PendingSleep | undefined {
    let first: PendingSleep | undefined;
    for (const pending of this.#pending) {
      if (pending.dueMs > untilMs) continue;
      if (!first || pending.dueMs < first.dueMs) first = pending;
    }
    return first;
  }
}

/** Runs the continuations of all settled promises. */
function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
