/** Short-lived reservations for requests that were offered admission but have not started yet. */
import { randomBytes } from "node:crypto";
import type { Clock } from "../base/mod.ts";

/** A reservation for one run. */
export interface Hold<T> {
  runId: string;
  expiresMs: number;
  /** The work that is reserved. */
  demand: T;
}

/** Maximum number of open holds. */
const MAX_HOLDS = 4096;
/** Maximum lifetime of a hold. */
const MAX_HOLD_MS = 5000;

/** Open holds by id. A hold can be used once, and only in the process that issued it. */
export class Holds<T> {
  readonly #clock: Clock;
  readonly #holds = new Map<string, Hold<T>>();
  readonly #prefix = randomBytes(6).toString("hex");
  #count = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Clock by which holds expire.
   * @returns An empty collection.
   */
  static create<T>(clock: Clock): Holds<T> {
    return new Holds(clock);
  }

  get size(): number {
    return this.#holds.size;
  }

  /** Holds that have not expired. */
  *live(): IterableIterator<Hold<T>> {
    const nowMs = this.#clock.nowMs();
    for (const hold of this.#holds.values()) {
      if (hold.expiresMs > nowMs) yield hold;
    }
  }

  /**
   * Creates a hold.
   *
   * @param runId The run that may use the hold.
   * @param holdMs Lifetime of the hold.
   * @param demand The work that is reserved.
   * @returns The hold's id; empty if there are too many holds.
   */
  open(
    runId: string,
    holdMs: number,
    { demand }: { demand: T },
  ): string {
    this.sweep();
    if (this.#holds.size >= MAX_HOLDS) return "";
    const holdId = `${this.#prefix}-${++this.#count}`;
    const expiresMs = this.#clock.nowMs() + Math.min(holdMs, MAX_HOLD_MS);
    this.#holds.set(holdId, { runId, expiresMs, demand });
    return holdId;
  }

  /**
   * @param holdId Id of the hold.
   * @param runId The run that wants to use it.
   * @returns Whether the hold exists for this run and has not expired.
   */
  has(holdId: string, runId: string): boolean {
    const hold = this.#holds.get(holdId);
    return hold?.runId === runId && hold.expiresMs > this.#clock.nowMs();
  }

  /**
   * @param holdId Id of a hold, expired or not.
   * @returns Whether this process issued the hold.
   */
  isLocal(holdId: string): boolean {
    return holdId.startsWith(`${this.#prefix}-`);
  }

  /**
   * Uses up a hold.
   *
   * @param holdId Id of the hold.
   * @param runId The run that uses it.
   * @returns The hold, or undefined if it has expired, was used or belongs to another run.
   */
  consume(holdId: string, runId: string): Hold<T> | undefined {
    if (!this.has(holdId, runId)) return undefined;
    const hold = this.#holds.get(holdId);
    this.#holds.delete(holdId);
    return hold;
  }

  /** Removes expired holds. */
  sweep(): void {
    const nowMs = this.#clock.nowMs();
    for (const [holdId, hold] of this.#holds) {
      if (hold.expiresMs <= nowMs) this.#holds.delete(holdId);
    }
  }
}
