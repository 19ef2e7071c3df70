/**
 * Rate limits of moves, and separately of the loads among them. The buckets of a new lease holder
 * start empty, so that at most `movesPerMinute` moves are ordered in any minute even if the lease
 * changes its holder.
 */
import type { Clock } from "../base/mod.ts";
import { TokenBucket } from "../limits/mod.ts";
import type { MoveAllowance } from "./pool_view.ts";

/** Share of a minute's moves that may be ordered in a burst. */
const MAX_BURST_SHARE = 0.25;

/** Settings of a {@link MoveBudget}. */
export interface MoveBudgetOptions {
  clock: Clock;
  /** Bound on loads and unloads together in any minute; at least 2. */
  movesPerMinute: number;
  /**
   * Bound on loads in any minute, the pool's share of the weight store's rate limit; at least 2.
   */
  loadsPerMinute: number;
}

/** Limits the moves that one holder of a pool's lease may order. */
export class MoveBudget {
  readonly #clock: Clock;
  readonly #moves: TokenBucket;
  readonly #loads: TokenBucket;
  #loadsPausedUntilMs = 0;

  private constructor(options: MoveBudgetOptions) {
    this.#clock = options.clock;
    this.#moves = createBucket(options.clock, options.movesPerMinute);
    this.#loads = createBucket(options.clock, options.loadsPerMinute);
  }

  /**
   * @param options Bounds.
   * @returns An empty budget.
   */
  static create(options: MoveBudgetOptions): MoveBudget {
    return new MoveBudget(options);
  }

  /** @returns The number of moves that may be ordered now. */
  allowance(): MoveAllowance {
    const paused = this.#clock.nowMs() < this.#loadsPausedUntilMs;
    return {
      maxMoves: Math.floor(this.#moves.tokens),
      maxLoads: paused ? 0 : Math.floor(this.#loads.tokens),
    };
  }

  /**
   * Charges an order that is about to be sent, regardless of its outcome.
   *
   * @param kind Kind of the move.
   */
  spend(kind: "load" | "unload"): void {
    this.#moves.take(1);
    if (kind === "load") this.#loads.take(1);
  }

  /**
   * Suspends loads after the weight store refused one.
   *
   * @param retryAfterMs How long to wait.
   */
  pauseLoads(retryAfterMs: number): void {
    const untilMs = this.#clock.nowMs() + retryAfterMs;
    this.#loadsPausedUntilMs = Math.max(this.#loadsPausedUntilMs, untilMs);
  }
}

function createBucket(clock: Clock, perMinute: number): TokenBucket {
  if (perMinute < 2) throw new RangeError("Expected a bound of at least 2");
  const burst = Math.max(1, Math.floor(perMinute * MAX_BURST_SHARE));
  const perSecond = (perMinute - burst) / 60;
  return TokenBucket.create({ clock, perSecond, burst, initial: 0 });
}
