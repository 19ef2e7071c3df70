/** Simulated time: wakes sleeping tasks in order of their wake-up time, without real delays. */
import type { Clock } from "../base/mod.ts";

interface Sleeper {
  atMs: number;
  order: number;
  wake: () => void;
}

/** A clock whose time only moves in {@link VirtualClock.advance}. */
export class VirtualClock implements Clock {
  #nowMs = 0;
  #count = 0;
  /** Binary min-heap, ordered by wake-up time and then by insertion order. */
  readonly #sleepers: Sleeper[] = [];

  private constructor() {}

  /** @returns A clock at 0 ms. */
  static create(): VirtualClock {
    return new VirtualClock();
  }

  nowMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return this.#nowMs;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const wake = () => {
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      signal?.addEventListener("abort", wake, { once: true });
      const atMs = this.#nowMs + Math.max(0, ms);
      this.#push({ atMs, order: this.#count++, wake });
    });
  }

  /**
   * Advances the time. After each wake-up, the woken tasks run until their next sleep.
   *
   * @param untilMs The time at which to stop.
   */
  async advance(untilMs: number): Promise<void> {
    await flushMicrotasks();
    while (this.#sleepers.length > 0 && this.#sleepers[0]!.atMs <= untilMs) {
      const { atMs } = this.#sleepers[0]!;
      this.#nowMs = atMs;
      while (this.#sleepers[0]?.atMs === atMs) this.#pop().wake();
      await flushMicrotasks();
    }
    this.#nowMs = untilMs;
  }

  #push(sleeper: Sleeper): void {
    const heap = this.#sleepers;
    let at = heap.length;
    heap.push(sleeper);
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(sleeper, heap[parent]!)) break;
      heap[at] = heap[parent]!;
      at = parent;
    }
    heap[at] = sleeper;
  }

  #pop(): Sleeper {
    const heap = this.#sleepers;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let at = 0;
    while (2 * at + 1 < heap.length) {
      let child = 2 * at + 1;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
        child++;
      }
      if (!isBefore(heap[child]!, last)) break;
      heap[at] = heap[child]!;
      at = child;
    }
    heap[at] = last;
    return first;
  }
}

function isBefore(one: Sleeper, other: Sleeper): boolean {
  return one.atMs < other.atMs ||
    (one.atMs === other.atMs && one.order < other.order);
}

/** Runs all pending microtasks; they complete before the next immediate. */
function flushMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
