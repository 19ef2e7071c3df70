/** Runs a daemon: prints its listener addresses and shuts it down on SIGTERM or SIGINT. */
import { Result } from "true-myth/result";
import type { Logger } from "../base/mod.ts";

/** Exit status of a failed command, such as a daemon that could not start. */
export const EXIT_FAILED = 1;

/** Shell convention: a process ended by signal N exits with 128 + N. */
const SIGNAL_EXIT_BASE = 128;
const SIGNAL_NUMBERS = { SIGINT: 2, SIGTERM: 15 } as const;
type StopSignal = keyof typeof SIGNAL_NUMBERS;

/** A running daemon. */
export interface Daemon {
  /** Listener addresses, `ip:port`, by purpose. */
  listening: Record<string, string>;
  /** Shuts down gracefully; resolves when all resources are closed. */
  stop(): Promise<void>;
}

/** Reports that a daemon could not start or stop. */
export interface DaemonFailure {
  kind: "start_failed" | "stop_failed";
  message: string;
}

/** Options of {@link runDaemon}. */
export interface RunDaemonOptions {
  role: string;
  log: Logger;
}

/**
 * Starts a daemon, writes one JSON line with its addresses to standard output and runs it until
 * it is shut down. The first SIGTERM or SIGINT starts a graceful shutdown, the second one exits
 * immediately.
 *
 * @param start Starts the daemon and opens all listeners.
 * @param options Role and logger of the daemon.
 * @returns The failure, or `undefined` after a graceful shutdown.
 */
export async function runDaemon(
  start: () => Promise<Daemon>,
  options: RunDaemonOptions,
): Promise<DaemonFailure | undefined> {
  const { role, log } = options;
  const signalPromise = waitForSignal();
  const started = await attempt(start);
  if (started.isErr) return { kind: "start_failed", message: started.error };
  const { listening, stop } = started.value;
  process.stdout.write(JSON.stringify({ role, listening }) + "\n");
  const signal = await signalPromise;
  log.info({ signal }, "Graceful shutdown started");
  const stopped = await attempt(stop);
  if (stopped.isErr) return { kind: "stop_failed", message: stopped.error };
  log.info("Stopped");
  return undefined;
}

async function attempt<T>(step: () => Promise<T>): Promise<Result<T, string>> {
  try {
    return Result.ok(await step());
  } catch (error) {
    return Result.err(error instanceof Error ? error.message : String(error));
  }
}

function waitForSignal(): Promise<StopSignal> {
  let isStopping = false;
  return new Promise((resolve) => {
    const onSignal = (signal: StopSignal) => {
      if (isStopping) process.exit(SIGNAL_EXIT_BASE + SIGNAL_NUMBERS[signal]);
      isStopping = true;
      resolve(signal);
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
  });
}
