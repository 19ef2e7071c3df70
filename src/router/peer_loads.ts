/** Requests under way, as entries tell each other. */
import type { Fleet } from "./fleet.ts";
import type { Told } from "./peer_datagram.ts";

const IDLE = { pendingTokens: 0, running: 0, bound: 0 };

/**
 * @param fleet All servers.
 * @returns What this entry tells of its own requests.
 */
export function tellLoads(fleet: Fleet): Told["loads"] {
  const loads: Told["loads"] = [];
  for (const { id, ownLoad } of fleet.all()) {
    if (ownLoad.running === 0) continue;
    const { pendingTokens, running, bound } = ownLoad;
    loads.push([id, pendingTokens, running, bound]);
  }
  return loads;
}

/**
 * Takes in another entry's requests; a server that it does not name has none of them.
 *
 * @param fleet All servers.
 * @param told What it tells.
 * @param nowMs The time.
 */
export function hearLoads(
  fleet: Fleet,
  { name, loads }: Pick<Told, "name" | "loads">,
  nowMs: number,
): void {
  const byServer = new Map(
    loads.map(([id, pendingTokens, running, bound]) => [
      id,
      { pendingTokens, running, bound },
    ]),
  );
  for (const server of fleet.all()) {
    server.setPeerLoad(name, byServer.get(server.id) ?? IDLE, nowMs);
  }
}
