/** Histories for the tests of the soak's checks. */
import type { SoakHistory } from "./_soak_history.ts";
import { findViolations } from "./_soak_oracles.ts";

function historyOf(parts: Partial<SoakHistory>): SoakHistory {
  return {
    clients: [],
    streams: [],
    versions: [],
    runs: [],
    arrivals: [],
    rates: [],
    disruptions: [],
    restarts: [],
    outages: [],
    cutAnswers: [],
    wholeAnswers: [],
    eras: [{ era: 1, fromMs: 0 }],
    leavingAcks: [],
    configAcks: [],
    configSamples: [],
    storeCalls: [],
    crashingRequests: [],
    crashes: [],
    ...parts,
  };
}

/**
 * @param parts Parts of a history that is empty otherwise.
 * @returns Names of the promises that it breaks.
 */
export function promisesBroken(parts: Partial<SoakHistory>): string[] {
  return findViolations(historyOf(parts)).map(({ promise }) => promise);
}
