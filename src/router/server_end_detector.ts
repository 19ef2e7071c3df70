/**
 * Determines whether a lost connection means that the backend server's process has ended. A server
 * may also reset a connection or stop a run while it stays alive.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "../base/mod.ts";
import type { Server } from "./server.ts";
import { CRASH_SETTLE_MS, tryConnect } from "./try_connect.ts";

/** Minimum time between probes of one server, which may reset many connections and stay alive. */
const MIN_PROBE_INTERVAL_MS = 200;
/**
 * Time after a lost connection in which a server that leaves the store counts as ended, if probing
 * it was inconclusive.
 */
const INCONCLUSIVE_MS = 5000;
/** Maximum number of lost requests recorded per server; more than servers usually run at a time. */
const MAX_LOST_REQUESTS = 256;

/** A request whose connection was lost before its answer was complete. */
export interface LostRequest {
  requestId: string;
  digest: string;
  /** Ids of the parts of its prompt that may have crashed the server. */
  parts: readonly string[];
  /** Time since the server started to answer; undefined if it had not started. */
  answeringMs?: number;
  /** When the connection was lost. */
  atMs: number;
  /** Time since the request was sent. */
  runMs: number;
}

/** Dependencies of {@link ServerEndDetector}. */
export interface ServerEndDetectorOptions {
  clock: Clock;
  /** Called when a server has ended while these requests were in flight on it. */
  onEnd(server: Server, lost: LostRequest[]): void;
}

interface PendingProbe {
  lost: LostRequest[];
  atMs: number;
}

/** Tracks servers with lost connections until it is known whether they have ended. */
export class ServerEndDetector {
  readonly #options: ServerEndDetectorOptions;
  readonly #pending = new Map<Server, PendingProbe>();
  readonly #probedAtMs = new WeakMap<Server, number>();

  private constructor(options: ServerEndDetectorOptions) {
    this.#options = options;
  }

  /**
   * Creates a tracker.
   *
   * @param options Clock and callback.
   * @returns A tracker without lost connections.
   */
  static create(options: ServerEndDetectorOptions): ServerEndDetector {
    return new ServerEndDetector(options);
  }

  /**
   * Records a lost connection and starts a probe, unless one is pending.
   *
   * @param server The server.
   * @param request The request that was in flight on the connection.
   */
  lost(server: Server, request: LostRequest): void {
    const nowMs = this.#options.clock.nowMs();
    // A leaving server shuts down as planned, even if requests are still in flight.
    if (server.isLeaving(nowMs)) return;
    const known = this.#pending.get(server);
    if (known && nowMs - known.atMs < INCONCLUSIVE_MS) {
      if (known.lost.length < MAX_LOST_REQUESTS) known.lost.push(request);
      return;
    }
    const pending = { lost: [request], atMs: nowMs };
    this.#pending.set(server, pending);
    void this.#probe(server, pending);
  }

  /**
   * Handles the removal of a server. It counts as ended if a connection to it was lost recently, no
   * probe has settled the question, and it was not leaving.
   *
   * @param server A server that left the store, restarted or whose address another server has
   *   taken.
   */
  left(server: Server): void {
    const pending = this.#pending.get(server);
    if (!pending) return;
    const nowMs = this.#options.clock.nowMs();
    const isRecent = nowMs - pending.atMs < INCONCLUSIVE_MS;
    this.#settle(server, isRecent && !server.isLeaving(nowMs));
  }

  async #probe(server: Server, pending: PendingProbe): Promise<void> {
    const { clock } = this.#options;
    const sinceMs = clock.nowMs() - (this.#probedAtMs.get(server) ?? -Infinity);
    await sleep(Math.max(CRASH_SETTLE_MS, MIN_PROBE_INTERVAL_MS - sinceMs));
    this.#probedAtMs.set(server, clock.nowMs());
    const outcome = await tryConnect(server.entry.address);
    if (this.#pending.get(server) !== pending) return;
    switch (outcome) {
      case "reached":
        return this.#settle(server, false);
      case "refused":
        server.health.refusedConnection(clock.nowMs());
        return this.#settle(server, true);
      case "unclear":
        // Removal from the store, or another server at the address, may still settle the question.
        return;
    }
  }

  #settle(server: Server, hasEnded: boolean): void {
    const pending = this.#pending.get(server);
    this.#pending.delete(server);
    if (pending && hasEnded) this.#options.onEnd(server, pending.lost);
  }
}
