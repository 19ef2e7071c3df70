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

/** What other entries tell of their requests, by entry. */
export class PeerLoads {
  readonly #fleet: Fleet;
  /** Servers at which an entry had requests by its last word. */
  readonly #servers = new Map<string, Set<string>>();

  private constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /**
   * @param fleet All servers.
   * @returns Loads of which nothing was told yet.
   */
  static create(fleet: Fleet): PeerLoads {
    return new PeerLoads(fleet);
  }

  /**
   * Takes in another entry's requests; a server that it does not name has none of them.
   *
   * @param told What it tells.
   * @param nowMs The time.
   */
  hear({ name, loads }: Pick<Told, "name" | "loads">, nowMs: number): void {
    const before = this.#servers.get(name);
    const servers = new Set<string>();
    for (const [id, pendingTokens, running, bound] of loads) {
      servers.add(id);
      const load = { pendingTokens, running, bound };
      this.#fleet.get(id)?.setPeerLoad(name, load, nowMs);
    }
    this.#servers.set(name, servers);
    for (const id of before ?? []) {
      if (servers.has(id)) continue;
      this.#fleet.get(id)?.setPeerLoad(name, IDLE, nowMs);
    }
  }
}
