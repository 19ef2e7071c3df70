/**
 * How far the process is behind with what has arrived. A request that is read late may be one whose
 * client has left since: its leaving is read one turn of the event loop later.
 */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "../base/mod.ts";

/** Pause between looks. */
const LOOK_MS = 100;
/** A process that is behind by less reads what arrives as it comes. */
const BEHIND_MS = 100;

/** Turns from the read of a request to that of its connection's end, and until all know of it. */
const TURNS = 10;

/** Measures the time between turns of the event loop. */
export class LoopLag {
  readonly #clock: Clock;
  #lookedAtMs: number;
  #lagMs = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#lookedAtMs = clock.nowMs();
  }

  /**
   * @param clock The process's clock.
   * @returns A meter that sees nothing yet.
   */
  static create(clock: Clock): LoopLag {
    return new LoopLag(clock);
  }

  /** How late the last look was, or the next one is by now. */
  get ms(): number {
    const sinceMs = this.#clock.nowMs() - this.#lookedAtMs;
    return Math.max(this.#lagMs, sinceMs - LOOK_MS, 0);
  }

  /** @param signal Ends the work. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(LOOK_MS, signal);
      const nowMs = this.#clock.nowMs();
      this.#lagMs = Math.max(0, nowMs - this.#lookedAtMs - LOOK_MS);
      this.#lookedAtMs = nowMs;
    }
  }

  /** While the process is behind, lets it read what has arrived meanwhile on all connections. */
  async catchUp(): Promise<void> {
    if (this.ms < BEHIND_MS) return;
    for (let turn = 0; turn < TURNS; turn++) await nextTurn();
  }
}
