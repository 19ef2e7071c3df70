/** Exchange of server loads between entries. */
import type { Fleet } from "./fleet.ts";
import type { Datagram } from "./peer_datagram.ts";

const NO_LOAD = { pendingTokens: 0, running: 0, bound: 0 };

/**
 * @param fleet All servers.
 * @returns This entry's own load by server, as sent to the peers; idle servers are left out.
 */
export function ownLoads(fleet: Fleet): Datagram["loads"] {
  const loads: Datagram["loads"] = [];
  for (const { id, ownLoad } of fleet.all()) {
    if (ownLoad.running === 0) continue;
    const { pendingTokens, running, bound } = ownLoad;
    loads.push([id, pendingTokens, running, bound]);
  }
  return loads;
}

/** Applies the loads that peers report. */
export class PeerLoads {
  readonly #fleet: Fleet;
  /** Ids of the servers at which each peer had load, by its last report. */
  readonly #serverIdsByPeer = new Map<string, Set<string>>();

  private constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /**
   * @param fleet All servers.
   * @returns Peer loads without any report yet.
   */
  static create(fleet: Fleet): PeerLoads {
    return new PeerLoads(fleet);
  }

  /**
   * Applies a peer's report; the peer has no load at servers that the report does not list.
   *
   * @param datagram The peer's name and loads.
   * @param nowMs The current time.
   */
  applyReport(
    { name, loads }: Pick<Datagram, "name" | "loads">,
    nowMs: number,
  ): void {
    const previousIds = this.#serverIdsByPeer.get(name);
    const serverIds = new Set<string>();
    for (const [id, pendingTokens, running, bound] of loads) {
      serverIds.add(id);
      const load = { pendingTokens, running, bound };
      this.#fleet.get(id)?.setPeerLoad(name, load, nowMs);
    }
    this.#serverIdsByPeer.set(name, serverIds);
    for (const id of previousIds ?? []) {
      if (serverIds.has(id)) continue;
      this.#fleet.get(id)?.setPeerLoad(name, NO_LOAD, nowMs);
    }
  }
}
