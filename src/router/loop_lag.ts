/**
 * How far the process is behind with what has arrived. Timers may be on time while what other hosts
 * sent waits to be read, so the process sends datagrams to itself and sees how long they wait.
 */
import { createSocket, type Socket } from "node:dgram";
import { type Logger, systemClock } from "../base/mod.ts";

/** Pause between datagrams. */
const LOOK_MS = 100;
/** A datagram that has not come after this is lost. */
const LOST_MS = 3000;

/** What a {@link LoopLag} works with. */
export interface LoopLagOptions {
  log: Logger;
  /** The process's own address. */
  ipAddress: string;
}

/** Measures how long what arrives waits to be read. */
export class LoopLag {
  readonly #options: LoopLagOptions;
  readonly #socket: Socket;
  /** When the datagram was sent that has not come yet. */
  #sentAtMs: number | undefined;
  #lagMs = 0;
  #lookedAtMs: number;
  /** How late the last look was. */
  #lateMs = 0;

  private constructor(options: LoopLagOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
    this.#lookedAtMs = systemClock.nowMs();
  }

  /**
   * @param options Log and address.
   * @returns A meter that sees nothing yet.
   */
  static create(options: LoopLagOptions): LoopLag {
    return new LoopLag(options);
  }

  /** How long the last datagram waited, or the next one has by now; or how late that one is. */
  get ms(): number {
    const nowMs = systemClock.nowMs();
    const waitsMs = nowMs - (this.#sentAtMs ?? nowMs);
    return Math.max(this.#lagMs, this.#lateMs, waitsMs, this.#lateAt(nowMs));
  }

  /** @param signal Ends the work. */
  async run(signal: AbortSignal): Promise<void> {
    const { log, ipAddress } = this.#options;
    const socket = this.#socket;
    socket.on("message", () => this.#hear());
    socket.on("error", ({ message }) => {
      log.warn({ event: "lag_socket_failed", reason: message });
    });
    await new Promise<void>((resolve) => socket.bind(0, ipAddress, resolve));
    while (!signal.aborted) {
      const nowMs = systemClock.nowMs();
      this.#lateMs = this.#lateAt(nowMs);
      this.#lookedAtMs = nowMs;
      this.#send();
      await systemClock.sleep(LOOK_MS, signal);
    }
    socket.close();
  }

  #lateAt(nowMs: number): number {
    return Math.max(0, nowMs - this.#lookedAtMs - LOOK_MS);
  }

  #send(): void {
    const nowMs = systemClock.nowMs();
    const isWaiting = this.#sentAtMs !== undefined &&
      nowMs - this.#sentAtMs < LOST_MS;
    if (isWaiting) return;
    this.#sentAtMs = nowMs;
    const { address, port } = this.#socket.address();
    this.#socket.send("", port, address);
  }

  #hear(): void {
    if (this.#sentAtMs === undefined) return;
    this.#lagMs = systemClock.nowMs() - this.#sentAtMs;
    this.#sentAtMs = undefined;
  }
}
