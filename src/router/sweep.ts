/** Looks again and again at servers that may be gone, and at those that may be back. */
import type { Clock } from "../base/mod.ts";
import type { Fleet } from "./fleet.ts";
import { probe } from "./probe.ts";
import type { StoreContact } from "./store_contact.ts";

/** Pause between looks at registrations that lapsed and servers that are down. */
const SWEEP_MS = 100;

/** What {@link sweepServers} looks at. */
export interface Swept {
  clock: Clock;
  contact: StoreContact;
  fleet: Fleet;
}

/**
 * @param swept The servers, and when the store answered.
 * @param signal Ends the work.
 */
export async function sweepServers(
  { clock, contact, fleet }: Swept,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(SWEEP_MS, signal);
    contact.tick();
    fleet.sweep();
    for (const server of fleet.all()) {
      if (server.health.isProbeDue(clock.nowMs())) void probe(server, clock);
    }
  }
}
