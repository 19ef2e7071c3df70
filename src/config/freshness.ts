/** Tracks how current the local configuration is and when the store or a peer last answered. */
import type { Clock } from "../base/mod.ts";

/** Age reported before the first confirmation: the largest value of the protocol's uint32 field. */
export const UNCONFIRMED_AGE_MS = 0xffff_ffff;

/** Records the times of the last answer and of the last confirmation by the store. */
export class Freshness {
  readonly #clock: Clock;
  #contactAtMs = -Infinity;
  #confirmedAtMs = -Infinity;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Source of time.
   * @returns A tracker that has not seen any answer yet.
   */
  static create(clock: Clock): Freshness {
    return new Freshness(clock);
  }

  /** Time since the store, a peer or an agent last answered; infinite before the first answer. */
  get contactAgeMs(): number {
    return this.#clock.nowMs() - this.#contactAtMs;
  }

  /** Time since the store confirmed the local configuration, directly or through an equal peer. */
  get confirmedAgeMs(): number {
    const ageMs = this.#clock.nowMs() - this.#confirmedAtMs;
    return Math.min(Math.max(0, Math.ceil(ageMs)), UNCONFIRMED_AGE_MS);
  }

  /** Records that the store, a peer or an agent answered. */
  recordContact(): void {
    this.#contactAtMs = this.#clock.nowMs();
  }

  /**
   * Records that the store confirmed the local configuration.
   *
   * @param atMs Monotonic time as of which the state is confirmed.
   */
  recordConfirmation(atMs: number): void {
    this.recordContact();
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
  }

  /**
   * Adopts the confirmation of a peer that has the same configuration.
   *
   * @param ageMs Age of the confirmation as the peer reported it.
   * @param askedAtMs Monotonic time at which the peer was asked.
   */
  recordPeerConfirmation(ageMs: number, askedAtMs: number): void {
    if (ageMs >= UNCONFIRMED_AGE_MS) return;
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, askedAtMs - ageMs);
  }
}
