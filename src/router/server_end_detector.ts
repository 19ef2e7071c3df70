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
 * Time after a lost connection in which a server that leaves the store or restarts counts as ended, if
 * probing it was inconclusive.
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
  /** Called in addition when the server was found to refuse connections. */
  onRefused(server: Server): void;
}

interface PendingProbe {
  lost: LostRequest[];
  atMs: number;
  /** Whether a connection that was open when the first one was lost is still open. */
  isOneOpen(): boolean;
}

/** Tracks servers with lost connections until it is known whether they have ended. */
export class ServerEndDetector {
  readonly #options: ServerEndDetectorOptions;
  readonly #pending = new Map<Server, PendingProbe>();
  /**
   * Requests lost at servers whose address accepted a connection afterwards. A process that has ended
   * may be replaced within milliseconds, and its successor accepts connections as well.
   */
  readonly #undecided = new WeakMap<Server, LostRequest[]>();
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
    const isOneOpen = server.channels.connections.watchOpen();
    const pending = { lost: [request], atMs: nowMs, isOneOpen };
    this.#pending.set(server, pending);
    void this.#probe(server, pending);
  }

  /**
   * Handles the removal of a server. It counts as ended if a connection to it was lost recently, no
   * probe has shown that it lived on, and it was not leaving.
   *
   * @param server A server that left the store, restarted or whose address another server has
   *   taken.
   */
  left(server: Server): void {
    const nowMs = this.#options.clock.nowMs();
    const pending = this.#pending.get(server);
    const isPendingRecent = pending && nowMs - pending.atMs < INCONCLUSIVE_MS;
    const lost = [
      ...this.#recentUndecided(server),
      ...isPendingRecent ? pending.lost : [],
    ];
    const hasEnded = lost.length > 0 && !server.isLeaving(nowMs);
    this.#settle(server, hasEnded ? lost : []);
  }

  #recentUndecided(server: Server): LostRequest[] {
    const fromMs = this.#options.clock.nowMs() - INCONCLUSIVE_MS;
    const lost = this.#undecided.get(server) ?? [];
    return lost.filter(({ atMs }) => atMs > fromMs);
  }

  /** Keeps the requests of a probe that found a listener, which may be another process by now. */
  #leaveUndecided(server: Server, { lost, isOneOpen }: PendingProbe): void {
    this.#pending.delete(server);
    if (isOneOpen()) return;
    const all = [...this.#recentUndecided(server), ...lost];
    this.#undecided.set(server, all.slice(-MAX_LOST_REQUESTS));
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
        return this.#leaveUndecided(server, pending);
      case "refused":
        server.health.refusedConnection(clock.nowMs());
        this.#options.onRefused(server);
        return this.#settle(server, pending.lost);
      case "unclear":
        // Removal from the store, or another server at the address, may still settle the question.
        return;
    }
  }

  /** @param lost Requests under which the server has ended; none if it may live on. */
  #settle(server: Server, lost: LostRequest[]): void {
    this.#pending.delete(server);
    this.#undecided.delete(server);
    if (lost.length > 0) this.#options.onEnd(server, lost);
  }
}
