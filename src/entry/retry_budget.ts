/** Retries may not exceed a share of first tries, per team, so that they can't feed an overload. */

/** Retries a team may make at once after a quiet time. */
export const RETRY_BURST = 10;

/** Budgets of retries by team. */
export class RetryBudget {
  readonly #credits = new Map<string, number>();
  readonly #burst: () => number;

  private constructor(burst: () => number) {
    this.#burst = burst;
  }

  /**
   * @param burst Retries at once after a quiet time, which may change; below 1, the first must be
   *   earned.
   * @returns Full budgets for every team.
   */
  static create(burst: () => number = () => RETRY_BURST): RetryBudget {
    return new RetryBudget(burst);
  }

  /**
   * Counts a first try.
   *
   * @param team The team.
   * @param retryShare Retries as a share of first tries.
   */
  earn(team: string, retryShare: number): void {
    const credit = this.#credit(team);
    const burst = this.#burst();
    this.#credits.set(team, Math.min(Math.max(1, burst), credit + retryShare));
  }

  /**
   * @param team The team.
   * @returns Whether one more try is within the budget.
   */
  has(team: string): boolean {
    return this.#credit(team) >= 1;
  }

  /**
   * @param team The team.
   * @returns Whether one more try is within the budget; it is then spent.
   */
  spend(team: string): boolean {
    const credit = this.#credit(team);
    if (credit < 1) return false;
    this.#credits.set(team, credit - 1);
    return true;
  }

  #credit(team: string): number {
    const burst = this.#burst();
    return Math.min(this.#credits.get(team) ?? burst, Math.max(1, burst));
  }
}
