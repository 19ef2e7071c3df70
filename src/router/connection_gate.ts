/**
 * Closes new connections, before anything is read from them, while this entry reads requests late and
 * other entries don't, as when a load balancer sends most new connections to one of them. A client whose
 * request was not read may send any request to another entry at once; one that was read and refused has
 * lost time here, and cost more of it to the others.
 */
import type { Clock, Logger, Metrics } from "../base/mod.ts";

/** Lag up to which all new connections are accepted. */
const CLOSE_FROM_MS = 50;
/** Lag from which all new connections are closed. */
const CLOSE_ALL_MS = 150;
/** Time for which the lag must last; a pause of the process ends earlier. */
const SUSTAINED_MS = 500;
/** New connections that are further apart than this say nothing about the time between them. */
const MAX_ARRIVAL_GAP_MS = 200;
/** Time after a connection was closed for which the gate counts as closing. */
const CLOSING_MS = 500;
/** Minimum time between log lines. */
const LOG_INTERVAL_MS = 1000;

/** Dependencies of a {@link ConnectionGate}. */
export interface ConnectionGateOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  /** Returns a number from 0 to 1. */
  random: () => number;
  /** Whether other entries have room for the clients that are turned away. */
  peersHaveRoom(): boolean;
}

/** Decides which new connections are accepted. */
export class ConnectionGate {
  readonly #options: ConnectionGateOptions;
  /** Since when all new connections found the process behind. */
  #behindSinceMs = Infinity;
  #arrivedAtMs = -Infinity;
  #closedAtMs = -Infinity;
  #loggedAtMs = -Infinity;
  #closedCount = 0;

  private constructor(options: ConnectionGateOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock, randomness and the state of the other entries.
   * @returns A gate that has closed no connection.
   */
  static create(options: ConnectionGateOptions): ConnectionGate {
    return new ConnectionGate(options);
  }

  /** Whether connections were closed a moment ago. */
  get isClosing(): boolean {
    return this.#options.clock.nowMs() - this.#closedAtMs < CLOSING_MS;
  }

  /**
   * Decides about a new connection; the caller closes it if it isn't accepted.
   *
   * @param lagMs Time that requests wait before this process reads them.
   * @returns Whether it is accepted.
   */
  admit(lagMs: number): boolean {
    const { random, peersHaveRoom, metrics } = this.#options;
    const closeShare = (lagMs - CLOSE_FROM_MS) / (CLOSE_ALL_MS - CLOSE_FROM_MS);
    const isSustained = this.#noteArrival(closeShare > 0) >= SUSTAINED_MS;
    if (!isSustained || random() >= closeShare || !peersHaveRoom()) return true;
    metrics.counter("connections_closed_unread_total", {
      help: "New connections closed while other entries had room",
    }).add();
    this.#noteClosed(lagMs);
    return false;
  }

  /** Returns for how long the process has been behind. */
  #noteArrival(isBehind: boolean): number {
    const nowMs = this.#options.clock.nowMs();
    const isGap = nowMs - this.#arrivedAtMs > MAX_ARRIVAL_GAP_MS;
    this.#arrivedAtMs = nowMs;
    if (!isBehind) this.#behindSinceMs = Infinity;
    else if (isGap) this.#behindSinceMs = nowMs;
    else this.#behindSinceMs = Math.min(this.#behindSinceMs, nowMs);
    return nowMs - this.#behindSinceMs;
  }

  #noteClosed(lagMs: number): void {
    const { clock, log } = this.#options;
    const nowMs = clock.nowMs();
    this.#closedAtMs = nowMs;
    this.#closedCount++;
    if (nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return;
    this.#loggedAtMs = nowMs;
    log.warn({
      event: "connections_closed_unread",
      count: this.#closedCount,
      lagMs: Math.round(lagMs),
    });
    this.#closedCount = 0;
  }
}
