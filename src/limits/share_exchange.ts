/** Sends demands to the teams' coordinators and applies the shares that they return. */
import type { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import { rankProcesses } from "../lease/mod.ts";
import type { TeamDemand, TeamShare } from "../wire/gen/cicadahitch.ts";
import type { TeamLimiter } from "./team_limiter.ts";

const REPORT_CHECK_INTERVAL_MS = 200;
/** A coordinator that gave no answer is skipped for this long. */
const BACKOFF_MS = 3000;
const REPORT_RETRY_MS = 200;

/** Why a coordinator returned no shares. */
export type ShareFailure = { kind: "unreachable"; message: string };

/** Functions of the surrounding process that the exchange calls. */
export interface SharePorts {
  /** Ids of the entries known to be running, including this one. */
  listEntries(): string[];
  /** Sends demands to an entry, which may be this one, and returns its shares; times out. */
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
  /** Coordinator of each team, cached for the entries in `#rankedIds`. */
  readonly #coordinators = new Map<string, string | undefined>();
  #rankedIds = "";

  private constructor(limiter: TeamLimiter, ports: SharePorts, clock: Clock) {
    this.#limiter = limiter;
    this.#ports = ports;
    this.#clock = clock;
  }

  /**
   * @param limiter Supplies demands and receives shares.
   * @param ports Access to the other entries.
   * @param options The clock.
   * @returns An exchange that sends nothing until `run` or `reportDue` is called.
   */
  static create(
    limiter: TeamLimiter,
    ports: SharePorts,
    options: { clock: Clock },
  ): ShareExchange {
    return new ShareExchange(limiter, ports, options.clock);
  }

  /**
   * Sends due reports until the signal is aborted; runs as a task of a `Lifecycle`.
   *
   * @param signal Stops the exchange.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      // Not awaited, so that a coordinator that doesn't answer can't delay other teams.
      void this.reportDue();
      await this.#clock.sleep(REPORT_CHECK_INTERVAL_MS, signal);
    }
  }

  /** Sends due demands, one message per coordinator, and applies the shares. */
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
