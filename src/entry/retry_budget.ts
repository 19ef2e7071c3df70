/** Limits each team's retries to a share of its first attempts, so that they can't amplify overload. */

/** Default burst: retries that a team may make at once when its budget is full. */
export const RETRY_BURST = 10;

/** Retry budgets by team. Each works as a token bucket that first attempts refill. */
export class RetryBudget {
  readonly #credits = new Map<string, number>();
  readonly #burst: () => number;
  readonly #minCapacity: number;

  private constructor(burst: () => number, least: number) {
    this.#burst = burst;
    this.#minCapacity = least;
  }

  /**
   * @param burst Initial credits of a team, and its capacity; read on each use, as it may change.
   * @param least Minimum capacity if the burst is lower; first attempts must earn the difference.
   * @returns Budgets with the initial credits for every team.
   */
  static create(
    burst: () => number = () => RETRY_BURST,
    least = 1,
  ): RetryBudget {
    return new RetryBudget(burst, least);
  }

  /**
   * Adds credit for a first attempt.
   *
   * @param team The team.
   * @param retryShare Allowed retries as a share of first attempts.
   */
  deposit(team: string, retryShare: number): void {
    const credit = this.#credit(team);
    this.#credits.set(team, Math.min(this.capacity, credit + retryShare));
  }

  /**
   * @param team The team.
   * @param count Number of retries.
   * @returns Whether the budget allows that many retries.
   */
  canSpend(team: string, count = 1): boolean {
    return this.#credit(team) >= count;
  }

  /** Maximum number of credits a team can accumulate. */
  get capacity(): number {
    return Math.max(this.#minCapacity, this.#burst());
  }

  /**
   * Spends credits if there are enough.
   *
   * @param team The team.
   * @param count Number of retries.
   * @returns Whether the budget allowed that many retries.
   */
  spend(team: string, count = 1): boolean {
    if (!this.canSpend(team, count)) return false;
    this.#credits.set(team, this.#credit(team) - count);
    return true;
  }

  /**
   * Returns the credits of retries that were not made.
   *
   * @param team The team.
   * @param count Number of retries.
   */
  refund(team: string, count: number): void {
    this.#credits.set(team, this.#credit(team) + count);
  }

  #credit(team: string): number {
    return Math.min(this.#credits.get(team) ?? this.#burst(), this.capacity);
  }
}
