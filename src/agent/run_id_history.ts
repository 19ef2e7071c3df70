/**
 * The agent's history of run ids, which ensures that an id starts at most once.
 *
 * Ids are forgotten after a limited time and beyond a maximum number. A very late duplicate of a
 * forgotten id is rejected as follows:
 * - A start with a hold needs that hold, which expires soon and is used up by the first start.
 * - A start without a hold carries the time at which its id was created. The history keeps the
 *   latest creation time of all forgotten ids. An id that is not newer is not started, and its
 *   outcome is reported as unknown. Both times come from senders, and a duplicate carries the same
 *   time as the original, so this does not depend on synchronized clocks. A sender whose clock lags
 *   by more than the retention time only loses the ability to start runs without a hold.
 * - Bytes sent to an earlier process of the agent can't reach this one, because their connection is
 *   closed.
 */

/** Whether a run that is no longer live was ever sent to the backend server. */
export type PastRunStatus =
  /** Never sent: refused, or cancelled before it arrived or while it waited. */
  | { kind: "not_run" }
  /** Sent to the backend server. */
  | { kind: "ran" };

/** Whether a run id may start: only a `new` one may. */
export type StartEligibility = "new" | "known" | "too_old";

/** Limits of a {@link RunIdHistory}. */
export interface RunIdHistoryLimits {
  rememberMs: number;
  maxIds: number;
}

interface HistoryEntry {
  status: PastRunStatus;
  issuedWallMs: number;
  endedMs: number;
}

/** Allowed clock difference to the sender, for ids whose creation time is not given. */
const UNKNOWN_ISSUE_MARGIN_MS = 300_000;

/** Remembers the ids of runs that ended or must not start. */
export class RunIdHistory {
  readonly #limits: RunIdHistoryLimits;
  /** In the order in which the ids were added. */
  readonly #entries = new Map<string, HistoryEntry>();
  #latestForgottenIssueMs = -Infinity;

  private constructor(limits: RunIdHistoryLimits) {
    this.#limits = limits;
  }

  /**
   * @param limits Retention time and maximum number of ids.
   * @returns An empty history.
   */
  static create(limits: RunIdHistoryLimits): RunIdHistory {
    return new RunIdHistory(limits);
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Ids created at or before this time can start only with a hold. */
  get latestForgottenIssueMs(): number {
    return this.#latestForgottenIssueMs;
  }

  /**
   * @param runId Id of a run.
   * @returns Status of the run, or undefined if the id is not remembered.
   */
  statusOf(runId: string): PastRunStatus | undefined {
    return this.#entries.get(runId)?.status;
  }

  /**
   * @param runId Id of a run to be started without a hold.
   * @param issuedWallMs Time at which the sender created the id; undefined if not given.
   * @returns Whether the run may start.
   */
  eligibilityOf(
    runId: string,
    issuedWallMs: number | undefined,
  ): StartEligibility {
    if (this.#entries.has(runId)) return "known";
    const issued = issuedWallMs ?? -Infinity;
    if (this.#latestForgottenIssueMs === -Infinity) return "new";
    return issued > this.#latestForgottenIssueMs ? "new" : "too_old";
  }

  /**
   * @param runId Id of a run that must not start from now on.
   * @param status Whether the run was sent to the backend server.
   * @param times Current time, and the time at which the sender created the id, if given.
   */
  remember(
    runId: string,
    status: PastRunStatus,
    times: { nowMs: number; wallMs: number; issuedWallMs: number | undefined },
  ): void {
    this.#entries.delete(runId);
    const latestIssueMs = times.wallMs + UNKNOWN_ISSUE_MARGIN_MS;
    this.#entries.set(runId, {
      status,
      issuedWallMs: times.issuedWallMs ?? latestIssueMs,
      endedMs: times.nowMs,
    });
    if (this.#entries.size > this.#limits.maxIds) this.#forgetOldest();
  }

  /**
   * Forgets ids whose retention time is over.
   *
   * @param nowMs Current time.
   */
  prune(nowMs: number): void {
    for (const entry of this.#entries.values()) {
      if (nowMs - entry.endedMs < this.#limits.rememberMs) return;
      this.#forgetOldest();
    }
  }

  #forgetOldest(): void {
    const [first] = this.#entries;
    if (!first) return;
    const [runId, entry] = first;
    this.#entries.delete(runId);
    this.#latestForgottenIssueMs = Math.max(
      this.#latestForgottenIssueMs,
      entry.issuedWallMs,
    );
  }
}
