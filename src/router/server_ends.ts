/**
 * Finds out whether a connection that was lost means that its backend server has ended. A server
 * that resets a connection, or stops a run, may well live.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "../base/mod.ts";
import { connectTo } from "./probe.ts";
import type { Server } from "./server.ts";

/** Other connections to the server are lost within this time, and its port closes. */
const GATHER_MS = 20;
/** Pause between probes of one server, which may reset many connections and live. */
const PROBE_PAUSE_MS = 200;
/** A server that can't be reached either way may leave the store within this time. */
const UNCLEAR_MS = 5000;
/** Requests that are kept for one server. */
const MAX_LOST = 64;

/** A request whose connection to a server was lost before its answer was whole. */
export interface LostRequest {
  requestId: string;
  digest: string;
  /** Time since the server had begun to answer it; left out: it had not. */
  answeringMs?: number;
  /** When the connection was lost. */
  atMs: number;
  /** Time from when it was sent. */
  runMs: number;
}

/** What a {@link ServerEnds} works with. */
export interface ServerEndsOptions {
  clock: Clock;
  /** A server has ended while it had these requests. */
  onEnd(server: Server, lost: LostRequest[]): void;
}

interface Unclear {
  lost: LostRequest[];
  atMs: number;
}

/** Servers to which connections were lost. */
export class ServerEnds {
  readonly #options: ServerEndsOptions;
  readonly #unclear = new Map<Server, Unclear>();
  readonly #probedAtMs = new WeakMap<Server, number>();

  private constructor(options: ServerEndsOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock, and who is told of ends.
   * @returns Nothing was lost yet.
   */
  static create(options: ServerEndsOptions): ServerEnds {
    return new ServerEnds(options);
  }

  /**
   * @param server A server to which a connection was lost.
   * @param request The request that was under way on it.
   */
  lost(server: Server, request: LostRequest): void {
    const nowMs = this.#options.clock.nowMs();
    // One that was to go goes, whatever it still runs.
    if (server.isLeaving(nowMs)) return;
    const known = this.#unclear.get(server);
    if (known && nowMs - known.atMs < UNCLEAR_MS) {
      if (known.lost.length < MAX_LOST) known.lost.push(request);
      return;
    }
    const unclear = { lost: [request], atMs: nowMs };
    this.#unclear.set(server, unclear);
    void this.#find(server, unclear);
  }

  /** @param server A server that has left the store, or whose address another one has. */
  left(server: Server): void {
    const unclear = this.#unclear.get(server);
    if (!unclear) return;
    const nowMs = this.#options.clock.nowMs();
    const isRecent = nowMs - unclear.atMs < UNCLEAR_MS;
    this.#settle(server, isRecent && !server.isLeaving(nowMs));
  }

  async #find(server: Server, unclear: Unclear): Promise<void> {
    const { clock } = this.#options;
    const sinceMs = clock.nowMs() - (this.#probedAtMs.get(server) ?? -Infinity);
    await sleep(Math.max(GATHER_MS, PROBE_PAUSE_MS - sinceMs));
    this.#probedAtMs.set(server, clock.nowMs());
    const outcome = await connectTo(server.entry.address);
    if (this.#unclear.get(server) !== unclear) return;
    switch (outcome) {
      case "reached":
        return this.#settle(server, false);
      case "refused":
        server.health.refusedConnection(clock.nowMs());
        return this.#settle(server, true);
      case "unclear":
        // The store may tell, or whoever has the address next.
        return;
    }
  }

  #settle(server: Server, hasEnded: boolean): void {
    const unclear = this.#unclear.get(server);
    this.#unclear.delete(server);
    if (unclear && hasEnded) this.#options.onEnd(server, unclear.lost);
  }
}
