/**
 * The run table: live runs, ended runs whose output can still be read, and the history of run ids.
 * A run id starts at most once, also if it was forgotten; see {@link RunIdHistory}.
 */
import type { Clock } from "../base/mod.ts";
import type { CancelRequest } from "../wire/gen/cicadahitch.ts";
import { type Run, RunState } from "./run.ts";
import { type PastRunStatus, RunIdHistory } from "./run_id_history.ts";

/** Clock and limits of a {@link RunTable}. */
export interface RunTableOptions {
  clock: Clock;
  /** How long the output of an ended run stays readable. */
  keepEndedMs?: number;
  /** Maximum total output of ended runs that is kept, in bytes. */
  keepEndedBytes?: number;
  /** A run without an attached reader is cancelled after this time. */
  abandonMs?: number;
  /** A run whose readers don't free up its full output buffer is cancelled after this time. */
  stallMs?: number;
  /** How long the ids of runs are remembered after their removal from the table. */
  rememberMs?: number;
  /** Maximum number of remembered ids. */
  maxIds?: number;
}

/** Result of looking up a run id. */
export type RunLookup =
  | { kind: "kept"; run: Run }
  | { kind: "forgotten_output"; status: PastRunStatus }
  | { kind: "new" }
  /** The id is too old to tell whether it ran. */
  | { kind: "too_old" };

/** Result of a cancellation. */
export type CancelOutcome =
  /** The run was never sent to the server, and never will be. */
  | "not_run"
  /** The run was sent to the server, and may have ended. */
  | "ran";

interface Alias {
  run: Run;
  addedMs: number;
}

interface EndedRun {
  run: Run;
  /** Output bytes kept when the run ended; later acknowledgements only lower the real number. */
  sizeBytes: number;
}

const DEFAULTS = {
  keepEndedMs: 15_000,
  keepEndedBytes: 16 * 1024 * 1024,
  abandonMs: 10_000,
  stallMs: 30_000,
  rememberMs: 600_000,
  maxIds: 100_000,
};

/** All runs of one agent. */
export class RunTable {
  readonly #options: Required<RunTableOptions>;
  readonly #idHistory: RunIdHistory;
  readonly #live = new Map<string, Run>();
  /** In order of the runs' ends. */
  readonly #ended = new Map<string, EndedRun>();
  /** Run ids of repeated requests that share an earlier run because of their idempotency key. */
  readonly #aliases = new Map<string, Alias>();
  #endedBytes = 0;

  private constructor(options: Required<RunTableOptions>) {
    this.#options = options;
    this.#idHistory = RunIdHistory.create(options);
  }

  /**
   * @param options Clock and limits.
   * @returns An empty table.
   */
  static create(options: RunTableOptions): RunTable {
    return new RunTable({ ...DEFAULTS, ...options });
  }

  /** Runs that have not ended. */
  get live(): Iterable<Run> {
    return this.#live.values();
  }

  get liveCount(): number {
    return this.#live.size;
  }

  /** Sizes for state dumps. */
  get sizes(): Record<string, number> {
    return {
      live: this.#live.size,
      endedKept: this.#ended.size,
      endedKeptBytes: this.#endedBytes,
      aliases: this.#aliases.size,
      idsRemembered: this.#idHistory.size,
    };
  }

  /**
   * @param withinMs How long after a run's end its reader may reconnect.
   * @returns True while the output of a recently ended run was not read to its end.
   */
  hasUnread(withinMs: number): boolean {
    const nowMs = this.#options.clock.nowMs();
    for (const { run } of this.#ended.values()) {
      if (!run.isEndRead && nowMs - run.endedMs < withinMs) return true;
    }
    return false;
  }

  /**
   * @param runId Id of the run.
   * @param issuedWallMs Time at which the sender created the id; undefined if not given.
   * @returns The run, or what is known about its id.
   */
  find(runId: string, issuedWallMs?: number): RunLookup {
    const run = this.#live.get(runId) ?? this.#ended.get(runId)?.run ??
      this.#aliases.get(runId)?.run;
    if (run) return { kind: "kept", run };
    const status = this.#idHistory.statusOf(runId);
    if (status) return { kind: "forgotten_output", status };
    const eligibility = this.#idHistory.eligibilityOf(runId, issuedWallMs);
    return eligibility === "too_old" ? { kind: "too_old" } : { kind: "new" };
  }

  /** @param run A run whose id {@link find} reported as new. */
  add(run: Run): void {
    this.#live.set(run.runId, run);
  }

  /**
   * @param runId An additional id under which the run can be read.
   * @param run A run of this table.
   */
  addAlias(runId: string, run: Run): void {
    const addedMs = this.#options.clock.nowMs();
    this.#aliases.set(runId, { run, addedMs });
    run.isShared = true;
  }

  /** @param run A run that has ended; its output stays readable for a limited time. */
  markEnded(run: Run): void {
    if (!this.#live.delete(run.runId)) return;
    run.endedMs = this.#options.clock.nowMs();
    const sizeBytes = run.output.keptBytes;
    this.#ended.set(run.runId, { run, sizeBytes });
    this.#endedBytes += sizeBytes;
    this.#remember(run.runId, run);
    while (this.#endedBytes > this.#options.keepEndedBytes) this.#dropOldest();
  }

  /**
   * Cancels a run. An id that was never seen is blocked, so that it can't start later.
   *
   * @param request Id, reason and creation time of the id.
   * @returns Whether the run was ever sent to the server.
   */
  cancel(request: CancelRequest): CancelOutcome {
    const found = this.find(request.runId, issueTimeOf(request));
    switch (found.kind) {
      case "kept":
        return this.#cancelKept(request, found.run);
      case "forgotten_output":
        return found.status.kind;
      case "too_old":
        return "ran";
      case "new":
        this.blockId(request);
        return "not_run";
    }
  }

  /** @param message Contains a run id that was cancelled or refused, and must never start here. */
  blockId(message: { runId: string; issuedWallMs?: bigint | undefined }): void {
    this.#idHistory.remember(message.runId, { kind: "not_run" }, {
      nowMs: this.#options.clock.nowMs(),
      wallMs: this.#options.clock.wallMs(),
      issuedWallMs: issueTimeOf(message),
    });
  }

  /** Removes expired runs and ids, and cancels runs without an active reader. */
  sweep(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const run of this.#live.values()) {
      if (this.#isAbandoned(run, nowMs)) run.cancel("Nobody reads this run");
    }
    for (const { run } of this.#ended.values()) {
      if (nowMs - run.endedMs < this.#options.keepEndedMs) break;
      this.#dropOldest();
    }
    this.#removeExpiredAliases(nowMs);
    this.#idHistory.prune(nowMs);
  }

  #isAbandoned(run: Run, nowMs: number): boolean {
    if (run.isAtMostOnce && wasSentToServer(run)) return false;
    const unreadMs = nowMs - run.lastReadMs;
    if (run.attached === 0) return unreadMs >= this.#options.abandonMs;
    return !run.output.hasRoom && unreadMs >= this.#options.stallMs;
  }

  #cancelKept(request: CancelRequest, run: Run): CancelOutcome {
    // Another caller still waits for the answer, so the run continues.
    if (run.isShared) return "ran";
    const wasSent = wasSentToServer(run);
    const mustFinish = run.isAtMostOnce && wasSent;
    if (!mustFinish) run.cancel(request.reason || "Cancelled by the caller");
    return wasSent ? "ran" : "not_run";
  }

  #remember(runId: string, run: Run): void {
    const status: PastRunStatus = {
      kind: wasSentToServer(run) ? "ran" : "not_run",
    };
    this.#idHistory.remember(runId, status, {
      nowMs: this.#options.clock.nowMs(),
      wallMs: this.#options.clock.wallMs(),
      issuedWallMs: issueTimeOf(run.ask),
    });
  }

  #removeExpiredAliases(nowMs: number): void {
    for (const [runId, { run, addedMs }] of this.#aliases) {
      if (this.#live.has(run.runId)) continue;
      const sinceMs = Math.max(addedMs, run.endedMs);
      if (nowMs - sinceMs < this.#options.keepEndedMs) continue;
      this.#aliases.delete(runId);
      this.#remember(runId, run);
    }
  }

  #dropOldest(): void {
    const [first] = this.#ended.values();
    if (!first) return;
    const { run, sizeBytes } = first;
    this.#ended.delete(run.runId);
    this.#endedBytes -= sizeBytes;
    // The cache of answers by idempotency key evicts the answers of at-most-once calls.
    if (!run.isAtMostOnce) run.output.drop();
  }
}

/**
 * @param message An ask or a cancel request.
 * @returns Time at which the run id was created, or undefined if not given.
 */
export function issueTimeOf(
  message: { issuedWallMs?: bigint | undefined },
): number | undefined {
  return message.issuedWallMs ? Number(message.issuedWallMs) : undefined;
}

function wasSentToServer(run: Run): boolean {
  if (run.state === RunState.Running) return true;
  return run.output.ending?.kind === "end";
}
