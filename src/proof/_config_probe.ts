/** Asks the entries of a soak which configuration they have. */
import { setTimeout as sleep } from "node:timers/promises";
import type { ConfigSample } from "./_soak_history.ts";

const INTERVAL_MS = 200;
/** Least time between two questions of the probe. */
const MS_PER_ENTRY = 20;
const TIMEOUT_MS = 1000;

/** An entry that is asked. */
export interface ProbedEntry {
  index: number;
  ipAddress: string;
  child: { pid: number };
}

/** Settings of {@link probeConfigs}. */
export interface ConfigProbeOptions {
  controlPort: number;
  entryCount: number;
  /** Receives what the entry answers. */
  samples: ConfigSample[];
}

/**
 * Asks one entry until the signal is aborted.
 *
 * @param entry The entry.
 * @param options Port, and who receives the answers.
 * @param signal Ends the questions.
 */
export async function probeConfigs(
  entry: ProbedEntry,
  { controlPort, entryCount, samples }: ConfigProbeOptions,
  signal: AbortSignal,
): Promise<void> {
  const url = `http://${entry.ipAddress}:${controlPort}/state`;
  while (!signal.aborted) {
    const { pid } = entry.child;
    // What the entry doesn't know when it answers, it did not know when it was asked.
    const atMs = performance.now();
    const version = await fetchVersion(url);
    if (version !== undefined && entry.child.pid === pid) {
      samples.push({ entry: entry.index, pid, atMs, version });
    }
    await sleep(Math.max(INTERVAL_MS, entryCount * MS_PER_ENTRY));
  }
}

/** @returns The version that is in force; undefined if there is none, or the entry does not answer. */
async function fetchVersion(url: string): Promise<number | undefined> {
  try {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const response = await fetch(url, { signal });
    const state = await response.json() as { configVersion?: number };
    return state.configVersion;
  } catch {
    return undefined;
  }
}
