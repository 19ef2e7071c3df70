/** Carries demands to the teams' coordinators and shares back. */
import type { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import { rankProcesses } from "../lease/mod.ts";
import type { TeamDemand, TeamShare } from "../wire/gen/cicadahitch.ts";
import type { TeamLimiter } from "./team_limiter.ts";

const REPORT_CHECK_INTERVAL_MS = 200;
/** A coordinator that gave no answer is passed over this long. */
const BACKOFF_MS = 3000;
const REPORT_RETRY_MS = 200;

/** Why a coordinator gave no shares. */
export type ShareFailure = { kind: "unreachable"; message: string };

/** What the exchange needs of the process around it. */
export interface SharePorts {
  /** Ids of the entries known to live, this one included. */
  listEntries(): string[];
  /** Brings demands to an entry (also to this one) and its shares back, within a deadline. */
  exchange(
    entryId: string,
    demands: TeamDemand[],
  ): Promise<Result<TeamShare[], ShareFailure>>;
}

/** Keeps the shares of one entry up to date. */
export class ShareExchange {
  readonly #limiter: TeamLimiter;
  readonly #ports: SharePorts;
  readonly #clock: Clock;
  readonly #backoffUntilMs = new Map<string, number>();
  /** Coordinator of each team for the entries in `#rankedIds`. */
  readonly #coordinators = new Map<string, string | undefined>();
  #rankedIds = "";

  private constructor(limiter: TeamLimiter, ports: SharePorts, clock: Clock) {
    this.#limiter = limiter;
    this.#ports = ports;
    this.#clock = clock;
  }

  /**
   * @param limiter Where demands come from and shares go.
   * @param ports The other entries.
   * @param options The clock.
   * @returns An exchange that does nothing until `run`.
   */
  static create(
    limiter: TeamLimiter,
    ports: SharePorts,
    options: { clock: Clock },
  ): ShareExchange {
    return new ShareExchange(limiter, ports, options.clock);
  }

  /**
   * Reports what is due until the signal is aborted; a task for a `Lifecycle`.
   *
   * @param signal Ends it.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      // Not awaited: a coordinator that is silent must not hold up the other teams.
      void this.reportDue();
      await this.#clock.sleep(REPORT_CHECK_INTERVAL_MS, signal);
    }
  }

  /** Sends what is due, one message to each coordinator, and takes the shares. */
  async reportDue(): Promise<void> {
    const demands = this.#limiter.dueDemands();
    if (demands.length === 0) return;
    const ids = this.#reachableIds();
    const batches = new Map<string, TeamDemand[]>();
    for (const demand of demands) {
      const coordinator = this.#coordinatorOf(demand.team, ids);
      if (coordinator === undefined) continue;
      const batch = batches.get(coordinator) ?? [];
      batch.push(demand);
      batches.set(coordinator, batch);
    }
    const sent = [...batches].map(([id, batch]) => this.#send(id, batch));
    await Promise.all(sent);
  }

  async #send(entryId: string, demands: TeamDemand[]): Promise<void> {
    const sentAtMs = this.#clock.nowMs();
    const answer = await this.#ports.exchange(entryId, demands);
    if (answer.isErr) {
      this.#backoffUntilMs.set(
        entryId,
        this.#clock.nowMs() + BACKOFF_MS,
      );
      for (const { team } of demands) {
        this.#limiter.reportFailed(team, REPORT_RETRY_MS);
      }
      return;
    }
    const answered = new Set(answer.value.map(({ team }) => team));
    for (const share of answer.value) this.#limiter.applyShare(share, sentAtMs);
    for (const { team } of demands) {
      if (!answered.has(team)) this.#limiter.reportFailed(team, BACKOFF_MS);
    }
  }

  #coordinatorOf(team: string, ids: string[]): string | undefined {
    const joinedIds = ids.join();
    if (joinedIds !== this.#rankedIds) this.#coordinators.clear();
    this.#rankedIds = joinedIds;
    if (!this.#coordinators.has(team)) {
      this.#coordinators.set(team, rankProcesses(team, ids)[0]);
    }
    return this.#coordinators.get(team);
  }

  #reachableIds(): string[] {
    const nowMs = this.#clock.nowMs();
    return this.#ports.listEntries().filter((id) =>
      (this.#backoffUntilMs.get(id) ?? 0) <= nowMs
    );
  }
}
