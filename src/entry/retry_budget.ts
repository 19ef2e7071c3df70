/** Retries may not exceed a share of first tries, per team, so that they can't feed an overload. */

/** Retries a team may make at once after a quiet time. */
export const RETRY_BURST = 10;

/** Budgets of retries by team. */
export class RetryBudget {
  readonly #credits = new Map<string, number>();

  private constructor() {}

  /** @returns Full budgets for every team. */
  static create(): RetryBudget {
    return new RetryBudget();
  }

  /**
   * Counts a first try.
   *
   * @param team The team.
   * @param retryShare Retries as a share of first tries.
   */
  earn(team: string, retryShare: number): void {
    const credit = this.#credits.get(team);
    if (credit === undefined || credit >= RETRY_BURST) return;
    this.#credits.set(team, Math.min(RETRY_BURST, credit + retryShare));
  }

  /**
   * @param team The team.
   * @returns Whether one more try is within the budget.
   */
  has(team: string): boolean {
    return (this.#credits.get(team) ?? RETRY_BURST) >= 1;
  }

  /**
   * @param team The team.
   * @returns Whether one more try is within the budget; it is then spent.
   */
  spend(team: string): boolean {
    const credit = this.#credits.get(team) ?? RETRY_BURST;
    if (credit < 1) return false;
    this.#credits.set(team, credit - 1);
    return true;
  }
}
