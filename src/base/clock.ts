/** Time, behind an interface so that tests can drive it. */
/** A source of time. */
export interface Clock {
  /** Monotonic time in ms; only differences mean something. */
  nowMs(): number;
  /** Wall-clock time in ms since 1970. */
  wallMs(): number;
  /** Resolves after `ms`, or at once when the signal is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The machine's clock. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  sleep: (ms, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const wake = () => {
        clearTimeout(timer);
        if (signal) forget(signal, wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      if (signal) wakeOnAbort(signal, wake);
    }),
};

/** Those who sleep under one signal. */
interface Sleepers {
  wakes: Set<() => void>;
  wakeAll(): void;
}

/**
 * As many sleep under a process's one signal as engines change their weights. They share a listener,
 * so that Node's bound on listeners still shows a leak.
 */
const sleepersOf = new WeakMap<AbortSignal, Sleepers>();

function wakeOnAbort(signal: AbortSignal, wake: () => void): void {
  const known = sleepersOf.get(signal);
  if (known) {
    known.wakes.add(wake);
    return;
  }
  const wakes = new Set([wake]);
  const wakeAll = () => {
    for (const one of wakes) one();
  };
  sleepersOf.set(signal, { wakes, wakeAll });
  signal.addEventListener("abort", wakeAll, { once: true });
}

function forget(signal: AbortSignal, wake: () => void): void {
  const sleepers = sleepersOf.get(signal);
  if (!sleepers?.wakes.delete(wake) || sleepers.wakes.size > 0) return;
  sleepersOf.delete(signal);
  signal.removeEventListener("abort", sleepers.wakeAll);
}
