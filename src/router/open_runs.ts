/** The runs of one request that may still answer it, and what becomes of them. */
import type { Clock } from "../base/mod.ts";
import {
  CloseReason,
  endClosed,
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
import type { Resends } from "./resends.ts";
import type { RunMover } from "./run_mover.ts";
import type { Sender } from "./send.ts";
import type { Server } from "./server.ts";
import type { Wake } from "./wake.ts";

/** What {@link OpenRuns} work with. */
export interface OpenRunsParts {
  clock: Clock;
  sender: Sender;
  reader: AnswerReader;
  resends: Resends;
  mover: RunMover;
  /** Is told of requests whose connection broke, and of those that were answered well. */
  quarantine: Quarantine;
  quotas: Pick<Quotas, "runsAgain" | "giveBack">;
}

/** One request, and where its answer goes. */
export interface AnsweringTask {
  request: RoutedRequest;
  sink: AnswerSink;
  progress: Progress;
}

/** Open runs of a request, in the order in which they were sent. */
export class OpenRuns {
  readonly #parts: OpenRunsParts;
  readonly #task: AnsweringTask;
  readonly #wake: Wake;
  #sends: Send[] = [];

  private constructor(
    parts: OpenRunsParts,
    task: AnsweringTask,
    { wake }: { wake: Wake },
  ) {
    this.#parts = parts;
    this.#task = task;
    this.#wake = wake;
  }

  /**
   * @param parts Servers and helpers.
   * @param task The request.
   * @param options Told of each step of an answer.
   * @returns No runs.
   */
  static create(
    parts: OpenRunsParts,
    task: AnsweringTask,
    options: { wake: Wake },
  ): OpenRuns {
    return new OpenRuns(parts, task, options);
  }

  get count(): number {
    return this.#sends.length;
  }

  /** The runs at this moment. */
  get all(): readonly Send[] {
    return this.#sends;
  }

  /** Servers at which they are. */
  get servers(): Set<Server> {
    return new Set(this.#sends.map(({ choice }) => choice.server));
  }

  /**
   * @param choice Where the request is sent.
   * @param payment How that is paid for.
   */
  open(choice: Choice, payment: Payment): void {
    const { request, progress, sink } = this.#task;
    const isRepeat = progress.runs + this.count > 0 ||
      choice.copy !== undefined;
    if (isRepeat) this.#parts.quotas.runsAgain(request);
    const wake = this.#wake;
    const task = { sink, progress, choice, payment, isRepeat, wake };
    this.#sends = [...this.#sends, this.#parts.sender.send(request, task)];
  }

  /** @returns What has come of one of the answers. */
  read(): { send: Send; part: AnswerPart } | undefined {
    for (const send of this.#sends) {
      const part = this.#parts.reader.read(send);
      if (part) return { send, part };
    }
    return undefined;
  }

  /**
   * The answer, or the rest of it, comes from one run; the others are closed.
   *
   * @param send That run.
   */
  goOnWith(send: Send): void {
    if (this.count === 1) return;
    for (const other of this.#sends) {
      if (other !== send) this.#close(other, reasonToLeave(other, send));
    }
  }

  /** @param send A run whose answer is whole. */
  answered(send: Send): void {
    this.#remove(send);
    this.#countRun(send);
    const { request } = this.#task;
    if (send.answer!.facts.status < 500) {
      this.#parts.quarantine.answered(request);
    }
  }

  /**
   * @param send A run that is over without a whole answer.
   * @param end How.
   */
  over(send: Send, end: SendEnd): void {
    const { choice, sentAtMs, move } = send;
    const nowMs = this.#parts.clock.nowMs();
    const reason = end.kind === "moved" ? end.kind : end.reason;
    this.#task.progress.ends.push(`${reason}@${Math.round(nowMs - sentAtMs)}`);
    switch (end.kind) {
      case "moved":
        break;
      case "unknown":
        if (end.isBroken && send.exchange.sent) {
          this.#parts.quarantine.broken(send);
        }
        this.#countRun(send);
        break;
      case "not_run":
        if (choice.chain) choice.server.cache.forget(choice.chain, nowMs);
        this.#countUnrun(send, end.isUnsent ?? false);
    }
    if (end.kind !== "moved" && move?.kind === "copied") {
      this.#parts.mover.free(move.choice.copy);
    }
    this.#remove(send);
  }

  /** @param reason Why all are closed. */
  closeAll(reason: CloseReason): void {
    for (const send of this.#sends) this.#close(send, reason);
  }

  /** Has the servers drop the request at once; the runs stay until they are closed. */
  abort(): void {
    for (const { exchange } of this.#sends) exchange.abort();
  }

  #close(send: Send, reason: CloseReason): void {
    const isFailure = reason !== CloseReason.notNeeded &&
      reason !== CloseReason.clientGone;
    if (isFailure) send.choice.server.health.failed(this.#parts.clock.nowMs());
    this.over(send, endClosed(send, reason));
  }

  #countRun({ exchange, choice }: Send): void {
    if (!exchange.sent) return;
    this.#task.progress.runs++;
    this.#task.progress.ranAt.add(choice.server);
  }

  #countUnrun(send: Send, isUnsent: boolean): void {
    const { mover, resends } = this.#parts;
    const { request, progress } = this.#task;
    const { choice, payment } = send;
    this.#giveBackRun(send);
    if (isUnsent) {
      progress.arrivals--;
      resends.refundUnsent(request, payment);
    }
    if (!choice.copy) return;
    mover.free(choice.copy);
    // Its run has stopped where it was, and begins anew.
    progress.runs++;
  }

  /** The first run is within what the request was admitted for, each further one was counted. */
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
    send.ticket.ended();
    send.exchange.abort();
  }
}

/** Why a run is closed as another one goes on. */
function reasonToLeave(left: Send, next: Send): CloseReason {
  if (left.sentAtMs > next.sentAtMs) return CloseReason.notNeeded;
  return left.answer ? CloseReason.noEvent : CloseReason.noHead;
}
