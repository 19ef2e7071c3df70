/** Requests of all other entries to one server, summed as they are told. */

/** What another entry says of its own requests to a server is used for this long. */
const PEER_LOAD_MS = 1500;
/** Pause between looks for what is too old. */
const EXPIRY_LOOK_MS = 100;

/** Requests that are under way to a server. */
export interface ServerLoad {
  /** Tokens to be read before the first token of requests that wait for it. */
  pendingTokens: number;
  /** Requests under way. */
  running: number;
  /** Those of them that can't go on at another server. */
  bound: number;
}

interface PeerLoad extends ServerLoad {
  atMs: number;
}

/** The sum is asked for at each choice and for each server, far more often than it changes. */
export class PeerLoadSum {
  /** Entries that have requests there. */
  readonly #peers = new Map<string, PeerLoad>();
  readonly #sum: ServerLoad = { pendingTokens: 0, running: 0, bound: 0 };
  #lookedAtMs = -Infinity;

  /**
   * @param nowMs The time.
   * @returns The sum.
   */
  at(nowMs: number): Readonly<ServerLoad> {
    if (this.#peers.size > 0 && nowMs - this.#lookedAtMs > EXPIRY_LOOK_MS) {
      this.#expire(nowMs);
    }
    return this.#sum;
  }

  /**
   * @param peer Name of another entry.
   * @param load Its requests.
   * @param nowMs The time.
   */
  set(peer: string, load: Readonly<ServerLoad>, nowMs: number): void {
    const before = this.#peers.get(peer);
    if (before) this.#add(before, -1);
    if (load.running === 0 && load.pendingTokens === 0) {
      if (before) this.#peers.delete(peer);
      return;
    }
    this.#add(load, 1);
    if (before) Object.assign(before, load, { atMs: nowMs });
    else this.#peers.set(peer, { ...load, atMs: nowMs });
  }

  #expire(nowMs: number): void {
    this.#lookedAtMs = nowMs;
    for (const [peer, load] of this.#peers) {
      if (nowMs - load.atMs <= PEER_LOAD_MS) continue;
      this.#peers.delete(peer);
      this.#add(load, -1);
    }
  }

  #add({ pendingTokens, running, bound }: ServerLoad, sign: 1 | -1): void {
    this.#sum.pendingTokens += sign * pendingTokens;
    this.#sum.running += sign * running;
    this.#sum.bound += sign * bound;
  }
}
