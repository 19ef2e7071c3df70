/** Tracks the open runs of one request, which may still answer it, and accounts for their ends. */
import type { Clock } from "../base/mod.ts";
import { CLEARED_AFTER_MS } from "../suspects/mod.ts";
import {
  closedEnd,
  CloseReason,
  isRestored,
  type Payment,
  type Progress,
  type Send,
  type SendEnd,
} from "./attempt.ts";
import type { Choice } from "./choose.ts";
import type { Quarantine } from "./quarantine.ts";
import type { Quotas } from "./quotas.ts";
import type { AnswerPart, AnswerReader } from "./read_answer.ts";
import type { AnswerSink, RoutedRequest } from "./request.ts";
import type { OpenState, Resends } from "./resends.ts";
import type { RunBackups } from "./run_backups.ts";
import type { RunMover } from "./run_mover.ts";
import type { Sender } from "./send.ts";
import type { SendGate } from "./send_gate.ts";
import type { Server } from "./server.ts";
import type { WakeSignal } from "./wake_signal.ts";

/** Dependencies of {@link OpenRuns}. */
export interface OpenRunsParts {
  clock: Clock;
  sender: Sender;
  reader: AnswerReader;
  resends: Resends;
  mover: RunMover;
  runBackups: RunBackups;
  gate: Pick<SendGate, "giveBack">;
  /** Is notified of requests whose connection broke, and of requests that were answered successfully. */
  quarantine: Quarantine;
  quotas: Pick<Quotas, "runsAgain" | "giveBack">;
}

/** A request that is being answered, with its sink and its state. */
export interface ForwardTask {
  request: RoutedRequest;
  sink: AnswerSink;
  progress: Progress;
}

/** Open runs of a request, in the order in which they were sent. */
export class OpenRuns {
  readonly #parts: OpenRunsParts;
  readonly #task: ForwardTask;
  readonly #wake: WakeSignal;
  #sends: Send[] = [];
  /** The run that was lost last, until it is restored or can't be. */
  #lost: Send | undefined;

  private constructor(
    parts: OpenRunsParts,
    task: ForwardTask,
    { wake }: { wake: WakeSignal },
  ) {
    this.#parts = parts;
    this.#task = task;
    this.#wake = wake;
  }

  /**
   * @param parts Dependencies.
   * @param task The request.
   * @param options The wake is notified whenever a part of an answer is received.
   * @returns An object without open runs.
   */
  static create(
    parts: OpenRunsParts,
    task: ForwardTask,
    options: { wake: WakeSignal },
  ): OpenRuns {
    return new OpenRuns(parts, task, options);
  }

  get count(): number {
    return this.#sends.length;
  }

  /** The sends whose runs are open now. */
  get all(): readonly Send[] {
    return this.#sends;
  }

  /** Whether a run was lost, and it was not tried yet to continue it from its backup. */
  get hasLost(): boolean {
    return this.#lost !== undefined;
  }

  /** What decides whether the request may be sent again. */
  get state(): OpenState {
    const isAnyUp = this.#sends.some(({ choice }) =>
      !choice.server.health.isDown
    );
    return { count: this.count, isAnyUp };
  }

  /** Servers of the open runs. */
  get servers(): Set<Server> {
    return new Set(this.#sends.map(({ choice }) => choice.server));
  }

  /**
   * Sends the request to a server.
   *
   * @param choice The chosen server.
   * @param payment How the send was charged to the resend budget.
   */
  open(choice: Choice, payment: Payment): void {
    const { request, progress, sink } = this.#task;
    const isRepeat = progress.runs + this.count > 0 ||
      choice.copy !== undefined;
    if (isRepeat) this.#parts.quotas.runsAgain(request);
    const wake = this.#wake;
    const backup = this.#parts.runBackups.choose(request, choice);
    const task = { sink, progress, choice, payment, isRepeat, wake, backup };
    this.#parts.quarantine.parts.sending(request);
    this.#sends = [...this.#sends, this.#parts.sender.send(request, task)];
  }

  /**
   * Continues a lost run from its backup.
   *
   * @returns Whether the request was sent to the engine with the backup.
   */
  async restore(): Promise<boolean> {
    const lost = this.#lost;
    this.#lost = undefined;
    const restore = lost && await this.#parts.runBackups.restore(lost);
    if (restore) this.open(restore.choice, restore.payment);
    return restore !== undefined;
  }

  /** @returns The next received part of any open answer; undefined if there is none. */
  read(): { send: Send; part: AnswerPart } | undefined {
    for (const send of this.#sends) {
      const part = this.#parts.reader.read(send);
      if (part?.kind === "began") this.#parts.runBackups.began(send);
      if (part) return { send, part };
    }
    return undefined;
  }

  /**
   * Takes the answer, or the rest of it, from one run and closes all others.
   *
   * @param send The run to keep.
   */
  keepOnly(send: Send): void {
    if (this.count === 1) return;
    for (const other of this.#sends) {
      if (other !== send) this.#close(other, closeReasonOf(other, send));
    }
  }

  /**
   * @param send An open run.
   * @returns Whether it will probably crash its server when the server begins to answer.
   */
  isCrashLikely({ firstEventAtMs, request }: Send): boolean {
    return firstEventAtMs === undefined &&
      this.#parts.quarantine.parts.verdict(request).kind === "part_quarantined";
  }

  /** @param send A run whose events were delivered; after a while, its server can't crash on them. */
  delivered(send: Send): void {
    if (send.hasRunOn || !hasRunOn(send, this.#parts.clock.nowMs())) return;
    send.hasRunOn = true;
    this.#parts.quarantine.parts.answered(send.request);
  }

  /** @param send A run whose answer is complete. */
  answered(send: Send): void {
    this.#remove(send);
    this.#countRun(send);
    this.#parts.runBackups.ended(send);
    if (send.answer!.facts.status < 500) {
      this.#parts.quarantine.answered(send);
    }
  }

  /**
   * Accounts for a run that ended without a complete answer, and removes it.
   *
   * @param send The run.
   * @param end How it ended.
   */
  finishRun(send: Send, end: SendEnd): void {
    const { choice, sentAtMs, move } = send;
    const nowMs = this.#parts.clock.nowMs();
    const reason = end.kind === "moved" ? end.kind : end.reason;
    const proof = end.kind === "not_run" && end.isUnproven ? "_unproven" : "";
    const tookMs = Math.round(nowMs - sentAtMs);
    this.#task.progress.ends.push(`${reason}${proof}@${tookMs}`);
    switch (end.kind) {
      case "moved":
        break;
      case "unknown":
        if (end.isBroken && send.exchange.sent) {
          this.#parts.quarantine.recordBrokenSend(send);
        }
        if (end.isBroken || reason === CloseReason.engineReplaced) {
          this.#lost = send;
        }
        this.#countRun(send);
        break;
      case "not_run":
        if (choice.chain && !isRestored(send)) {
          choice.server.cache.forget(choice.chain, nowMs);
        }
        if (end.isUnproven) this.#task.progress.unprovenRefusals++;
        this.#countNotRun(send, end.isUnsent ?? false);
    }
    if (end.kind !== "moved" && move?.kind === "copied") {
      this.#parts.mover.free(move.choice.copy);
    }
    this.#parts.runBackups.ended(send, end);
    this.#remove(send);
  }

  /** @param reason Why all runs are closed. */
  closeAll(reason: CloseReason): void {
    for (const send of this.#sends) this.#close(send, reason);
  }

  /** Aborts the exchanges with the servers at once; the runs stay listed until they are closed. */
  abort(): void {
    for (const { exchange } of this.#sends) exchange.abort();
  }

  #close(send: Send, reason: CloseReason): void {
    if (isServerFailure(reason)) {
      send.choice.server.health.failed(this.#parts.clock.nowMs());
    }
    this.finishRun(send, closedEnd(send, reason));
  }

  #countRun(send: Send): void {
    const { exchange, choice } = send;
    if (!exchange.sent) return;
    if (!isRestored(send)) this.#task.progress.runs++;
    this.#task.progress.ranAt.add(choice.server);
  }

  #countNotRun(send: Send, isUnsent: boolean): void {
    const { mover, resends, gate } = this.#parts;
    const { request, progress } = this.#task;
    const { choice, payment } = send;
    this.#giveBackRun(send);
    if (isUnsent) {
      progress.possibleDeliveries--;
      resends.refundUnsent(request, payment);
      gate.giveBack(choice);
    }
    if (!choice.copy || isRestored(send)) return;
    mover.free(choice.copy);
    // The original run was stopped for the move, and the request must run from the start again.
    progress.runs++;
  }

  /** Refunds one run to the quota. Admission charged the first run; each further run was charged. */
  #giveBackRun(send: Send): void {
    const repeat = send.isRepeat
      ? send
      : this.#sends.find(({ isRepeat }) => isRepeat);
    if (!repeat) return;
    repeat.isRepeat = false;
    this.#parts.quotas.giveBack(this.#task.request);
  }

  #remove(send: Send): void {
    this.#sends = this.#sends.filter((other) => other !== send);
    this.#parts.runBackups.release(send);
    send.ticket.ended();
    send.exchange.abort();
    send.buffer?.resize(0);
  }
}

/** Whether a server has sent events for so long that its answer counts as a successful one. */
function hasRunOn({ firstEventAtMs }: Send, nowMs: number): boolean {
  return firstEventAtMs !== undefined &&
    nowMs - firstEventAtMs >= CLEARED_AFTER_MS;
}

/** Whether the server of a run is at fault for its being closed. */
function isServerFailure(reason: CloseReason): boolean {
  switch (reason) {
    case CloseReason.deadline:
    case CloseReason.noEvent:
    case CloseReason.noHead:
    case CloseReason.weightsRetired:
      return true;
    case CloseReason.notNeeded:
    case CloseReason.engineReplaced:
    case CloseReason.clientGone:
    case CloseReason.shutdown:
    case CloseReason.partQuarantined:
      return false;
  }
}

/** Why a run is closed when another run of the request provides the answer. */
function closeReasonOf(left: Send, next: Send): CloseReason {
  if (left.sentAtMs > next.sentAtMs) return CloseReason.notNeeded;
  return left.answer ? CloseReason.noEvent : CloseReason.noHead;
}
