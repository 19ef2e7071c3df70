/** Sum of the load that all other entries have at one server. */

/** How long the load that a peer reported counts. */
const PEER_LOAD_TTL_MS = 1500;
/** Interval between checks for expired loads. */
const EXPIRY_CHECK_MS = 100;

/** Load of a server by requests in flight. */
export interface ServerLoad {
  /** Prompt tokens still to be processed, over the requests that wait for their first token. */
  pendingTokens: number;
  /** Requests in flight. */
  running: number;
  /** Requests in flight that can't continue at another server. */
  bound: number;
}

interface PeerLoad extends ServerLoad {
  atMs: number;
}

/**
 * Load by peer, with a running total: the total is read for each server at each choice, far more often
 * than it changes.
 */
export class PeerLoadSum {
  /** Loads by peer, for peers with load at the server. */
  readonly #peers = new Map<string, PeerLoad>();
  readonly #total: ServerLoad = { pendingTokens: 0, running: 0, bound: 0 };
  #checkedAtMs = -Infinity;

  /**
   * @param nowMs The current time.
   * @returns The total load of all peers.
   */
  at(nowMs: number): Readonly<ServerLoad> {
    if (this.#peers.size > 0 && nowMs - this.#checkedAtMs > EXPIRY_CHECK_MS) {
      this.#expire(nowMs);
    }
    return this.#total;
  }

  /**
   * Replaces the load of one peer.
   *
   * @param peer Name of the peer.
   * @param load Its load at the server.
   * @param nowMs The current time.
   */
  set(peer: string, load: Readonly<ServerLoad>, nowMs: number): void {
    const previous = this.#peers.get(peer);
    if (previous) this.#add(previous, -1);
    if (load.running === 0 && load.pendingTokens === 0) {
      if (previous) this.#peers.delete(peer);
      return;
    }
    this.#add(load, 1);
    if (previous) Object.assign(previous, load, { atMs: nowMs });
    else this.#peers.set(peer, { ...load, atMs: nowMs });
  }

  #expire(nowMs: number): void {
    this.#checkedAtMs = nowMs;
    for (const [peer, load] of this.#peers) {
      if (nowMs - load.atMs <= PEER_LOAD_TTL_MS) continue;
      this.#peers.delete(peer);
      this.#add(load, -1);
    }
  }

  #add({ pendingTokens, running, bound }: ServerLoad, sign: 1 | -1): void {
    this.#total.pendingTokens += sign * pendingTokens;
    this.#total.running += sign * running;
    this.#total.bound += sign * bound;
  }
}
