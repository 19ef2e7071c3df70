/** Periodically removes servers whose registration has expired and probes servers that are down. */
import type { Clock } from "../base/mod.ts";
import type { Fleet } from "./fleet.ts";
import { probe } from "./probe.ts";
import type { StoreContact } from "./store_contact.ts";

/** Interval of the sweep. */
const SWEEP_INTERVAL_MS = 100;

/** Dependencies of {@link sweepServers}. */
export interface SweepOptions {
  clock: Clock;
  contact: StoreContact;
  fleet: Fleet;
}

/**
 * Runs the sweep until it is aborted.
 *
 * @param options The servers, and the state of the connection to the store.
 * @param signal Stops the sweep.
 */
export async function sweepServers(
  { clock, contact, fleet }: SweepOptions,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(SWEEP_INTERVAL_MS, signal);
    contact.tick();
    fleet.settle();
    for (const server of fleet.all()) {
      if (server.health.isProbeDue(clock.nowMs())) void probe(server, clock);
    }
  }
}
