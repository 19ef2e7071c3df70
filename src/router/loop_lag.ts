/**
 * Measures how long received data waits before the process reads it. Timers can be on time while data
 * waits in the sockets, so the process also sends datagrams to itself and measures their delay.
 */
import { createSocket, type Socket } from "node:dgram";
import { type Logger, systemClock } from "../base/mod.ts";

/** Interval between probe datagrams. */
const PROBE_INTERVAL_MS = 100;
/** A probe datagram that has not arrived after this time counts as lost. */
const PROBE_TIMEOUT_MS = 3000;

/** Dependencies of a {@link LoopLag}. */
export interface LoopLagOptions {
  log: Logger;
  /** Local address to which the probe datagrams are sent. */
  ipAddress: string;
}

/** Meter of the event-loop lag. */
export class LoopLag {
  readonly #options: LoopLagOptions;
  readonly #socket: Socket;
  /** When the outstanding probe datagram was sent; undefined if there is none. */
  #sentAtMs: number | undefined;
  #socketLagMs = 0;
  #lastTickAtMs: number;
  /** Delay of the last timer tick. */
  #timerLagMs = 0;

  private constructor(options: LoopLagOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
    this.#lastTickAtMs = systemClock.nowMs();
  }

  /**
   * @param options Log and local address.
   * @returns A meter that is not running yet.
   */
  static create(options: LoopLagOptions): LoopLag {
    return new LoopLag(options);
  }

  /**
   * Current lag: the largest of the last datagram's delay, the time that the outstanding datagram has
   * waited, and the delays of the last and the next timer tick.
   */
  get ms(): number {
    const nowMs = systemClock.nowMs();
    const waitsMs = nowMs - (this.#sentAtMs ?? nowMs);
    return Math.max(
      this.#socketLagMs,
      this.#timerLagMs,
      waitsMs,
      this.#timerLagAt(nowMs),
    );
  }

  /** @param signal Stops the measurement. */
  async run(signal: AbortSignal): Promise<void> {
    const { log, ipAddress } = this.#options;
    const socket = this.#socket;
    socket.on("message", () => this.#onDatagram());
    socket.on("error", ({ message }) => {
      log.warn({ event: "lag_socket_failed", reason: message });
    });
    await new Promise<void>((resolve) => socket.bind(0, ipAddress, resolve));
    while (!signal.aborted) {
      const nowMs = systemClock.nowMs();
      this.#timerLagMs = this.#timerLagAt(nowMs);
      this.#lastTickAtMs = nowMs;
      this.#send();
      await systemClock.sleep(PROBE_INTERVAL_MS, signal);
    }
    socket.close();
  }

  #timerLagAt(nowMs: number): number {
    return Math.max(0, nowMs - this.#lastTickAtMs - PROBE_INTERVAL_MS);
  }

  #send(): void {
    const nowMs = systemClock.nowMs();
    const isWaiting = this.#sentAtMs !== undefined &&
      nowMs - this.#sentAtMs < PROBE_TIMEOUT_MS;
    if (isWaiting) return;
    this.#sentAtMs = nowMs;
    const { address, port } = this.#socket.address();
    this.#socket.send("", port, address);
  }

  #onDatagram(): void {
    if (this.#sentAtMs === undefined) return;
    this.#socketLagMs = systemClock.nowMs() - this.#sentAtMs;
    this.#sentAtMs = undefined;
  }
}
