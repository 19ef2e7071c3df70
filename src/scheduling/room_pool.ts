/**
 * Room of the flows of one priority that get less than they demand. An allowance is seldom a multiple
 * of the requests' sizes, and may be less than one request. A request may therefore exceed it, if what
 * was used before stayed below it; the excess is made up for afterwards, so that the mean use is the
 * allowance.
 */

/** Part of one request's use that may be saved up while no request waits. */
const SAVED_SHARE = 0.5;

/** A pool. */
export class RoomPool {
  #allowance = 0;
  #admitted = 0;
  /** Unused minus used room, in units times ms. */
  #balance: number;
  /** Bound of the balance: what one request above the allowance uses. */
  #maxDebt: number;
  #atMs: number;
  /** Expected time that the last request stays admitted. */
  #holdMs = 0;

  private constructor(debt: number, nowMs: number) {
    this.#balance = -debt;
    this.#maxDebt = debt;
    this.#atMs = nowMs;
  }

  /**
   * @param debt Initial debt, in units times ms. It is random, so that the pools of several entries do
   *   not exceed their allowances at the same time.
   * @param nowMs Current time.
   * @returns A pool without room.
   */
  static create(debt: number, nowMs: number): RoomPool {
    return new RoomPool(debt, nowMs);
  }

  /** Units that may be admitted on average. */
  get allowance(): number {
    return this.#allowance;
  }

  /**
   * @param allowance Units that may be admitted on average from now on.
   * @param admitted Units that are admitted now.
   * @param nowMs Current time.
   */
  set(allowance: number, admitted: number, nowMs: number): void {
    this.#advance(nowMs);
    this.#allowance = allowance;
    this.#admitted = admitted;
  }

  /**
   * @param units Size of a request.
   * @param nowMs Current time.
   * @returns Whether it may be admitted.
   */
  fits(units: number, nowMs: number): boolean {
    this.#advance(nowMs);
    if (this.#allowance <= 0) return false;
    if (this.#admitted < this.#allowance && this.#balance >= 0) return true;
    return this.#admitted + units <= this.#allowance &&
      this.#balance >= -this.#maxPlainDebt;
  }

  /**
   * @param units Size of a request that is admitted.
   * @param options Time that it is expected to stay admitted, and current time.
   */
  add(
    units: number,
    { holdMs, nowMs }: { holdMs: number; nowMs: number },
  ): void {
    this.#advance(nowMs);
    this.#admitted += units;
    if (this.#admitted > this.#allowance) this.#maxDebt = units * holdMs;
    this.#holdMs = holdMs;
  }

  /**
   * @param units Size of a request that is no longer admitted.
   * @param nowMs Current time.
   */
  remove(units: number, nowMs: number): void {
    this.#advance(nowMs);
    this.#admitted = Math.max(0, this.#admitted - units);
  }

  /** Requests within the allowance wait only for a debt that exceeds one use of the allowance. */
  get #maxPlainDebt(): number {
    return this.#allowance * this.#holdMs;
  }

  /**
   * @param units Size of a request that is next.
   * @param nowMs Current time.
   * @returns Expected time until it fits.
   */
  waitMs(units: number, nowMs: number): number {
    this.#advance(nowMs);
    if (this.#allowance <= 0) return Infinity;
    const debtMs = -this.#balance / this.#allowance;
    const isFull = this.#admitted + units > this.#allowance;
    const endMs = isFull ? this.#holdMs * units / (this.#admitted + units) : 0;
    return Math.max(debtMs, endMs);
  }

  #advance(nowMs: number): void {
    const change = (this.#allowance - this.#admitted) * (nowMs - this.#atMs);
    this.#atMs = nowMs;
    this.#balance = Math.min(
      this.#maxDebt * SAVED_SHARE,
      Math.max(-this.#maxDebt, this.#balance + change),
    );
  }
}
