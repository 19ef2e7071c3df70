/** Clocks, behind an interface so that tests can use virtual time. */
/** A source of time. */
export interface Clock {
  /** Monotonic time in ms; only differences between readings are meaningful. */
  nowMs(): number;
  /** Wall-clock time in ms since 1970. */
  wallMs(): number;
  /** Resolves after `ms`, or as soon as the signal is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The system clock. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  sleep: (ms, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const wake = () => {
        clearTimeout(timer);
        if (signal) removeWake(signal, wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      if (signal) wakeOnAbort(signal, wake);
    }),
};

/** Pending sleeps that share one signal, and its abort listener. */
interface PendingSleeps {
  wakes: Set<() => void>;
  wakeAll(): void;
}

/**
 * Pending sleeps by signal. One process-wide signal may have many pending sleeps, such as one for
 * each engine that changes its weights. They share one abort listener, so that Node's listener
 * limit is exceeded only by a real leak.
 */
const pendingBySignal = new WeakMap<AbortSignal, PendingSleeps>();

function wakeOnAbort(signal: AbortSignal, wake: () => void): void {
  const known = pendingBySignal.get(signal);
  if (known) {
    known.wakes.add(wake);
    return;
  }
  const wakes = new Set([wake]);
  const wakeAll = () => {
    for (const one of wakes) one();
  };
  pendingBySignal.set(signal, { wakes, wakeAll });
  signal.addEventListener("abort", wakeAll, { once: true });
}

function removeWake(signal: AbortSignal, wake: () => void): void {
  const pending = pendingBySignal.get(signal);
  if (!pending?.wakes.delete(wake) || pending.wakes.size > 0) return;
  pendingBySignal.delete(signal);
  signal.removeEventListener("abort", pending.wakeAll);
}
