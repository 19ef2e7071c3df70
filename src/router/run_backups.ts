/**
 * Backups of runs that may not be repeated. An engine copies the memory of such a run to another engine
 * while it runs; if the run is lost, its request is sent once to that engine, which continues it.
 */
import type { Clock, Logger, Metrics } from "../base/mod.ts";
import { chooseBackup, nextRestoreStep, NoRestore } from "../run_backup/mod.ts";
import { isIdempotent } from "./answer_rules.ts";
import type { Payment, Send, SendEnd } from "./attempt.ts";
import type { Choice } from "./choose.ts";
import type { Fleet } from "./fleet.ts";
import { isSameIncarnation, RequestKind } from "./model.ts";
import type { Permits } from "./permits.ts";
import type { Quarantine } from "./quarantine.ts";
import type { RoutedRequest } from "./request.ts";
import type { Resends } from "./resends.ts";
import { moveCaller } from "./permit_caller.ts";
import type { Server } from "./server.ts";
import { originAt, type StreamOrigin } from "./software_versions.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** What became of a backup, for logs and metrics. */
const BackupOutcome = {
  /** A run was sent that an engine was asked to back up. */
  asked: "asked",
  /** The engine with the backup continued the run. */
  continued: "continued",
  /** The engine had no copy of the run, or has restarted since. */
  noCopy: "no_copy",
  /** No connection to the engine was made. */
  unreachable: "unreachable",
  /** The request was sent to the engine, which did not begin to stream. */
  failed: "failed",
  /** The request was not sent to the engine for another reason. */
  notSent: "not_sent",
} as const;

type BackupOutcome = typeof BackupOutcome[keyof typeof BackupOutcome];

/** Dependencies of {@link RunBackups}. */
export interface RunBackupsOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  fleet: Pick<Fleet, "accepting" | "get" | "has" | "versions">;
  wanted: WantedVersions;
  random: () => number;
  permits: Pick<Permits, "acquire" | "giveBack">;
  quarantine: Pick<Quarantine, "verdict">;
  resends: Pick<Resends, "chargeSend">;
  /** Whether the engines of a service copy the memory of runs to each other. */
  hasBackups(service: string): boolean;
}

/** A send that continues a lost run from its backup. */
export interface Restore {
  choice: Choice;
  payment: Payment;
}

/** Chooses engines for backups, and continues lost runs from them. */
export class RunBackups {
  readonly #options: RunBackupsOptions;
  /** Number of this entry's open runs whose backup each engine holds. */
  readonly #heldRuns = new WeakMap<Server, number>();
  /** Restored sends whose outcome is recorded. */
  readonly #recorded = new WeakSet<Send>();

  private constructor(options: RunBackupsOptions) {
    this.#options = options;
  }

  /**
   * @param options Dependencies.
   * @returns An object that knows no backups.
   */
  static create(options: RunBackupsOptions): RunBackups {
    return new RunBackups(options);
  }

  /**
   * Chooses the engine that holds the backup of a new run; {@link RunBackups.release} must follow.
   *
   * @param request Request that is about to be sent.
   * @param choice The engine that runs it.
   * @returns Another engine; undefined if the run gets no backup.
   */
  choose(request: RoutedRequest, choice: Choice): Server | undefined {
    const { weightsVersion, copy } = choice;
    const { prompt } = request.facts;
    if (!this.#isBackedUp(request) || copy || !prompt) return undefined;
    if (weightsVersion === undefined) return undefined;
    const { entry } = choice.server;
    const { random, fleet } = this.#options;
    const origin = originAt(entry);
    const engines = fleet.accepting(request.service)
      .filter((server) => server !== choice.server)
      .map((server) => this.#engineOf(server, prompt.model, origin));
    const chosen = chooseBackup(engines, {
      zone: entry.zone,
      weightsVersion,
      random,
    });
    if (chosen.kind === "none") return undefined;
    const { server } = chosen.engine;
    this.#hold(server, 1);
    this.#count(BackupOutcome.asked);
    return server;
  }

  /** @param send A run that has ended. */
  release({ backup }: Send): void {
    if (backup) this.#hold(backup, -1);
  }

  /**
   * Checks for a connection that stays open although its engine is gone, as after a loss of power.
   *
   * @param send An open run.
   * @returns Whether its engine has started again and the run may continue from its backup.
   */
  isEngineReplaced(send: Send): boolean {
    if (!send.backup) return false;
    const { id, entry: { bornAtMs } } = send.choice.server;
    const current = this.#options.fleet.get(id);
    if (!current || isSameIncarnation(bornAtMs, current.entry)) return false;
    return this.#refusalOf(send) === undefined;
  }

  /**
   * Prepares the send that continues a lost run.
   *
   * @param lost A lost run, whose connection is closed.
   * @returns The send; undefined if the run can't continue.
   */
  async restore(lost: Send): Promise<Restore | undefined> {
    const { backup, request, progress } = lost;
    if (!backup) return undefined;
    const refusal = this.#refusalOf(lost);
    if (refusal) return this.#refuse(lost, backup, refusal);
    const { permits, clock, resends } = this.#options;
    const lostAtMs = clock.nowMs();
    const hasPermit = backup.announcements.rate.perSecond !== undefined;
    if (hasPermit && !await permits.acquire(backup, moveCaller(request))) {
      return this.#refuse(lost, backup, NoRestore.overRate);
    }
    // The client or the engine may have gone while the permit was asked for.
    const late = this.#refusalOf(lost);
    const open = { count: 0, isAnyUp: false };
    const payment = late
      ? undefined
      : resends.chargeSend(request, progress, open);
    if (!payment || payment.kind === "refused") {
      if (hasPermit) permits.giveBack(backup);
      return this.#refuse(lost, backup, late ?? NoRestore.noBudget);
    }
    const choice = choiceAt(backup, lost, { lostAtMs, hasPermit });
    return { choice, payment };
  }

  /** @param send A send whose server has begun to stream. */
  began(send: Send): void {
    this.#recordSend(send, BackupOutcome.continued);
  }

  /**
   * @param send A send that has ended.
   * @param end How it ended; undefined if it was answered.
   */
  ended(send: Send, end?: SendEnd): void {
    const reason = end && "reason" in end ? end.reason : undefined;
    const outcome = end?.kind !== "not_run"
      ? BackupOutcome.failed
      : end.isUnsent
      ? BackupOutcome.unreachable
      : BackupOutcome.noCopy;
    this.#recordSend(send, outcome, reason);
  }

  #isBackedUp({ route, service, facts }: RoutedRequest): boolean {
    return route.kind === RequestKind.stream &&
      !isIdempotent(route) && facts.requestId !== "" &&
      this.#options.hasBackups(service);
  }

  #engineOf(server: Server, model: string, origin: StreamOrigin) {
    const { clock, fleet } = this.#options;
    const nowMs = clock.nowMs();
    const { running, pendingTokens } = server.load(nowMs);
    return {
      server,
      zone: server.entry.zone,
      isAvailable: this.#isAvailable(server),
      isHeldBack: server.isHeldBack(nowMs),
      isNextToChange: server.isNextToChange(nowMs),
      isCompatible: fleet.versions.canContinue(origin, server.entry),
      weightsVersion: server.weights(model),
      pendingTokens,
      running,
      heldRuns: this.#heldRuns.get(server) ?? 0,
    };
  }

  #isAvailable(server: Server): boolean {
    return !server.health.isDown &&
      !server.isFull(this.#options.clock.nowMs());
  }

  /** Why a lost run can't continue from its backup; undefined if it can. */
  #refusalOf(
    { request, choice, backup, sink, progress }: Send,
  ): NoRestore | undefined {
    const { clock, wanted, quarantine, fleet } = this.#options;
    const { weightsVersion, copy } = choice;
    const model = request.facts.prompt?.model ?? "";
    const ageMs = wanted.replacedForMs(model, weightsVersion ?? 0);
    const { kind: verdict } = quarantine.verdict(request);
    const step = nextRestoreStep(
      {
        isLost: true,
        isRestored: copy?.lostRun !== undefined,
        isBehindEventId: progress.hasEventsBehindId ?? false,
        isClientGone: sink.gone,
        isQuarantined: verdict !== "clear" && verdict !== "suspected",
        leftMs: request.answerByMs - clock.nowMs(),
        weightsVersion,
        mayStartOnWeights: ageMs < wanted.limits.retiredFromMs,
      },
      backup && {
        isSameProcess: fleet.has(backup),
        isAvailable: this.#isAvailable(backup),
        isCompatible: fleet.versions.canContinue(
          progress.origin ?? originAt(choice.server.entry),
          backup.entry,
        ),
        weightsVersion: backup.weights(model),
      },
    );
    return step.kind === "end" ? step.reason : undefined;
  }

  #hold(server: Server, change: number): void {
    this.#heldRuns.set(server, (this.#heldRuns.get(server) ?? 0) + change);
  }

  #refuse(
    { request, choice }: Send,
    backup: Server,
    reason: NoRestore,
  ): undefined {
    this.#record(outcomeOf(reason), {
      id: request.facts.requestId,
      from: choice.server.id,
      to: backup.id,
      reason,
    });
  }

  #recordSend(send: Send, outcome: BackupOutcome, reason?: string): void {
    const lostRun = send.choice.copy?.lostRun;
    if (!lostRun || this.#recorded.has(send)) return;
    this.#recorded.add(send);
    this.#record(outcome, {
      id: send.request.facts.requestId,
      from: lostRun.serverId,
      to: send.choice.server.id,
      reason,
      tookMs: Math.round(this.#options.clock.nowMs() - lostRun.lostAtMs),
    });
  }

  #record(outcome: BackupOutcome, fields: Record<string, unknown>): void {
    this.#count(outcome);
    this.#options.log.info({ event: "run_restored", outcome, ...fields });
  }

  #count(outcome: BackupOutcome): void {
    this.#options.metrics.counter("run_backups_total", {
      help: "Backups of runs that were asked for, and used, by outcome",
      labels: { outcome },
    }).add();
  }
}

function choiceAt(
  server: Server,
  { choice, request, progress }: Send,
  { lostAtMs, hasPermit }: { lostAtMs: number; hasPermit: boolean },
): Choice {
  return {
    server,
    expectedMs: choice.expectedMs,
    queueMs: choice.queueMs,
    // After the first event the copy holds the prompt; before it, how much has arrived is unknown.
    uncachedTokens: progress.streamStarted ? 0 : choice.uncachedTokens,
    weightsVersion: choice.weightsVersion,
    chain: choice.chain,
    copy: {
      source: server.entry,
      copyId: request.facts.requestId,
      lostRun: { serverId: choice.server.id, lostAtMs },
    },
    hasPermit,
  };
}

function outcomeOf(reason: NoRestore): BackupOutcome {
  switch (reason) {
    case NoRestore.backupEnded:
      return BackupOutcome.noCopy;
    case NoRestore.backupUnavailable:
      return BackupOutcome.unreachable;
    case NoRestore.noBackup:
    case NoRestore.notLost:
    case NoRestore.alreadyRestored:
    case NoRestore.behindEventId:
    case NoRestore.clientGone:
    case NoRestore.noTime:
    case NoRestore.quarantined:
    case NoRestore.otherWeights:
    case NoRestore.weightsRetired:
    case NoRestore.otherSoftware:
    case NoRestore.overRate:
    case NoRestore.noBudget:
      return BackupOutcome.notSent;
  }
}
