/** Retries may not exceed a share of first tries, per team, so that they can't feed an overload. */

/** Retries a team may make at once after a quiet time. */
export const RETRY_BURST = 10;

/** Budgets of retries by team. */
export class RetryBudget {
  readonly #credits = new Map<string, number>();
  readonly #burst: () => number;
  readonly #least: number;

  private constructor(burst: () => number, least: number) {
    this.#burst = burst;
    this.#least = least;
  }

  /**
   * @param burst Retries at once after a quiet time, which may change.
   * @param least Retries that may be saved up where the burst is lower; they must be earned.
   * @returns Full budgets for every team.
   */
  static create(
    burst: () => number = () => RETRY_BURST,
    least = 1,
  ): RetryBudget {
    return new RetryBudget(burst, least);
  }

  /**
   * Counts a first try.
   *
   * @param team The team.
   * @param retryShare Retries as a share of first tries.
   */
  earn(team: string, retryShare: number): void {
    const credit = this.#credit(team);
    this.#credits.set(team, Math.min(this.most, credit + retryShare));
  }

  /**
   * @param team The team.
   * @param count How many tries.
   * @returns Whether so many more tries are within the budget.
   */
  has(team: string, count = 1): boolean {
    return this.#credit(team) >= count;
  }

  /** Tries that a team may save up. */
  get most(): number {
    return Math.max(this.#least, this.#burst());
  }

  /**
   * @param team The team.
   * @param count How many tries.
   * @returns Whether so many more tries are within the budget; they are then spent.
   */
  spend(team: string, count = 1): boolean {
    if (!this.has(team, count)) return false;
    this.#credits.set(team, this.#credit(team) - count);
    return true;
  }

  /**
   * Gives back what was spent on tries that were not made.
   *
   * @param team The team.
   * @param count How many tries.
   */
  refund(team: string, count: number): void {
    this.#credits.set(team, this.#credit(team) + count);
  }

  #credit(team: string): number {
    return Math.min(this.#credits.get(team) ?? this.#burst(), this.most);
  }
}
