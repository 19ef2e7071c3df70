/**
 * One request from its first send to its answer. Silence ends no run: another server is asked beside
 * the silent one, both runs stay open, and the one that answers first goes on. A run is closed only
 * - when another run of the request has answered, or goes on with the answer,
 * - when its engine has stopped it to move it,
 * - before it begins on weights that may begin no answer any more,
 * - when its client has gone or its time is over.
 * A stream that nobody runs, and that may be sent again, waits for a server and for the budget while
 * its client waits.
 */
import type { Logger } from "../base/mod.ts";
import { AnswerWriter } from "./answer_writer.ts";
import { CloseReason, endClosed, type Send, type SendEnd } from "./attempt.ts";
import type { Choice } from "./choose.ts";
import type { NextServer } from "./next_server.ts";
import {
  type AnsweringTask,
  OpenRuns,
  type OpenRunsParts,
} from "./open_runs.ts";
import {
  beginUntilMs,
  isSilent,
  movedAtMs,
  nextLookAtMs,
  suspectAtMs,
} from "./patience.ts";
import type { AnswerPart } from "./read_answer.ts";
import { ResendRefusal, type RoutedRequest } from "./request.ts";
import { mayPass } from "./resends.ts";
import { Wake } from "./wake.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Longest pause between looks at what may change while a server is waited for. */
const LOOK_MS = 250;
/** The same for a stream that nobody runs. */
const LOOK_ALONE_MS = 100;
/** Pause before a stream that nobody runs is sent again after a refusal; it doubles with each. */
const RETRY_MIN_MS = 25;
/** The same while a run is open, and its answer may still come. */
const RETRY_OPEN_MIN_MS = 250;
const RETRY_MAX_MS = 1000;

/** Reason of refusals for want of a server. */
const NO_SERVER = "no_server";
/** Reason of refusals for want of time. */
export const TOO_LATE = "too_late";
/** Reason of refusals of requests under which servers have ended. */
export const QUARANTINED = "quarantined";

/** How the answering of a request ended. */
export type AnswerEnd =
  | { kind: "answered"; status: number }
  | { kind: "client_gone" }
  /** Its client has no whole answer, and gets none. */
  | { kind: "given_up"; reason: string; refusal: ResendRefusal };

/** What an {@link Answering} works with. */
export interface AnsweringParts extends OpenRunsParts {
  log: Logger;
  wanted: WantedVersions;
  servers: NextServer;
  /** Whether a first send is not bound to be late. */
  isWorthSending(request: RoutedRequest, choice: Choice): boolean;
  /** A server has gone silent; other entries are told. */
  onSilent(serverId: string): void;
}

/** Answers one request. */
export class Answering {
  readonly #parts: AnsweringParts;
  readonly #task: AnsweringTask;
  readonly #wake = Wake.create();
  readonly #open: OpenRuns;
  readonly #writer: AnswerWriter;
  /** Not sent again before. */
  #nextAtMs = -Infinity;
  /** Times in a row that it was refused. */
  #refusedCount = 0;
  #reason = NO_SERVER;

  private constructor(parts: AnsweringParts, task: AnsweringTask) {
    this.#parts = parts;
    this.#task = task;
    this.#open = OpenRuns.create(parts, task, { wake: this.#wake });
    this.#writer = AnswerWriter.create(task);
  }

  /**
   * @param parts Servers and helpers.
   * @param task The request.
   * @returns Its answering, which has not begun.
   */
  static create(parts: AnsweringParts, task: AnsweringTask): Answering {
    return new Answering(parts, task);
  }

  /** @returns How it ended; where it was given up, its client is yet to be told. */
  async run(): Promise<AnswerEnd> {
    const { sink } = this.#task;
    sink.onGone(() => {
      this.#open.abort();
      this.#wake.notify();
    });
    while (!sink.gone) {
      const end = await this.#step();
      if (!end) continue;
      this.#open.closeAll(CloseReason.deadline);
      if (end.kind !== "given_up") return end;
      const status = this.#writer.failure();
      return status === undefined ? end : { kind: "answered", status };
    }
    this.#open.closeAll(CloseReason.clientGone);
    return { kind: "client_gone" };
  }

  /** Takes what has come; else does what is due, and waits. */
  async #step(): Promise<AnswerEnd | undefined> {
    const read = this.#open.read();
    if (read) return await this.#take(read.send, read.part);
    if (this.#nowMs >= this.#task.request.answerByMs) return this.#endLate();
    const [first] = this.#open.all;
    if (first && this.#isMoveDue(first)) {
      // What comes during the call is read before anything else is done.
      first.move = await this.#parts.mover.move(first);
      return undefined;
    }
    for (const send of this.#open.all) this.#tend(send);
    const end = this.#sendIfDue();
    if (!end) await this.#wake.wait(this.#wakeAtMs() - this.#nowMs);
    return end;
  }

  get #nowMs(): number {
    return this.#parts.clock.nowMs();
  }

  async #take(send: Send, part: AnswerPart): Promise<AnswerEnd | undefined> {
    switch (part.kind) {
      case "began":
        // The other runs are closed once there is something to go on with.
        return undefined;
      case "events":
        this.#goOnWith(send);
        await this.#writer.events(send, part);
        send.quietSinceMs = this.#nowMs;
        return undefined;
      case "stream_end":
        this.#goOnWith(send);
        this.#learnOutput(send);
        this.#writer.endOfStream(send);
        return this.#answered(send);
      case "whole":
        return this.#takeWhole(send, part.body);
      case "over":
        this.#over(send, part.end);
        return undefined;
    }
  }

  #learnOutput({ choice, headAtMs }: Send): void {
    const tookMs = this.#nowMs - headAtMs!;
    const { prompt } = this.#task.request.facts;
    choice.server.learnOutput(tookMs, prompt?.outputTokens ?? 0);
  }

  #takeWhole(send: Send, body: Buffer): AnswerEnd | undefined {
    const { request, progress } = this.#task;
    const { status } = send.answer!.facts;
    const isReplaced = status >= 500 && (this.#open.count > 1 ||
      this.#parts.resends.mayReplace(request, progress));
    if (isReplaced) this.#writer.keepFailure(send, body);
    // Only a stream goes on with a stream.
    if (isReplaced || progress.begun) {
      this.#over(send, { kind: "unknown", reason: `status_${status}` });
      return undefined;
    }
    this.#goOnWith(send);
    this.#writer.whole(send, body);
    return this.#answered(send);
  }

  #answered(send: Send): AnswerEnd {
    this.#open.answered(send);
    return { kind: "answered", status: send.answer!.facts.status };
  }

  #goOnWith(send: Send): void {
    this.#refusedCount = 0;
    this.#nextAtMs = -Infinity;
    this.#open.goOnWith(send);
  }

  #isMoveDue(send: Send): boolean {
    return this.#open.count === 1 && this.#parts.mover.isDue(send);
  }

  /** Does what follows from a server's silence. */
  #tend(send: Send): void {
    const nowMs = this.#nowMs;
    const { move } = send;
    if (move?.kind === "copied") {
      if (nowMs < movedAtMs(send)) return;
      return this.#over(send, { kind: "moved", choice: move.choice });
    }
    if (send.answer) return;
    if (nowMs >= beginUntilMs(send, { wanted: this.#parts.wanted, nowMs })) {
      // Taken back by closing the connection, before the engine begins it.
      return this.#over(send, endClosed(send, CloseReason.weightsRetired));
    }
    if (!send.isSuspected && nowMs >= suspectAtMs(send)) this.#suspect(send);
  }

  #suspect(send: Send): void {
    send.isSuspected = true;
    const { choice: { server, expectedMs }, sentAtMs } = send;
    if (server.heardAtMs >= sentAtMs) return;
    server.health.unreachable(this.#nowMs);
    this.#parts.onSilent(server.id);
    this.#parts.log.warn({
      event: "server_silent",
      server: server.id,
      id: this.#task.request.facts.requestId,
      expectedMs: Math.round(expectedMs),
    });
  }

  /** Sends the request if no run of it is open, or all are silent. */
  #sendIfDue(): AnswerEnd | undefined {
    const nowMs = this.#nowMs;
    if (nowMs < this.#nextAtMs) return undefined;
    if (this.#open.all.some((send) => !isSilent(send, nowMs))) return undefined;
    const refusal = this.#sendNext();
    if (!refusal) return undefined;
    // Clients that have nothing yet are better off when they come back.
    const mayWait = this.#task.progress.begun && mayPass(refusal);
    if (this.#open.count === 0 && !mayWait) {
      return { kind: "given_up", reason: this.#reason, refusal };
    }
    this.#nextAtMs = nowMs + (this.#open.count > 0 ? LOOK_MS : LOOK_ALONE_MS);
    return undefined;
  }

  /** Sends it to one more server; else says why not. */
  #sendNext(): ResendRefusal | undefined {
    const { request, progress } = this.#task;
    const { resends, isWorthSending } = this.#parts;
    const open = { count: this.#open.count, isAnyUp: this.#isAnyUp };
    const refusal = resends.refusalOf(request, progress, open);
    if (refusal) return refusal;
    if (this.#isQuarantined()) return ResendRefusal.quarantined;
    const choice = this.#choose();
    if (!choice) return ResendRefusal.noServer;
    if (progress.sends === 0 && !isWorthSending(request, choice)) {
      this.#reason = TOO_LATE;
      return ResendRefusal.noTime;
    }
    const payment = resends.pay(request, progress, open);
    if (payment.kind === "refused") return ResendRefusal.noBudget;
    if (open.count > 0) progress.sendsBeside++;
    this.#open.open(choice, payment);
    return undefined;
  }

  /** Whether a run is open at a server that is up. */
  get #isAnyUp(): boolean {
    return this.#open.all.some(({ choice }) => !choice.server.health.isDown);
  }

  #choose(): Choice | undefined {
    const { servers } = this.#parts;
    const { request, progress } = this.#task;
    return progress.begun || this.#open.count > 0
      ? servers.ready(request, progress, this.#open.servers)
      : servers.any(request, progress);
  }

  /** Looked at before each send: servers may have ended under this very attempt. */
  #isQuarantined(): boolean {
    const { request, progress } = this.#task;
    const verdict = this.#parts.quarantine.verdict(request);
    switch (verdict.kind) {
      case "clear":
        return false;
      case "suspected":
        progress.endedServers = verdict.endCount;
        return false;
      case "quarantined":
        progress.endedServers = verdict.endCount;
        progress.quarantinedForMs = verdict.leftMs;
        this.#reason = QUARANTINED;
        return true;
    }
  }

  /** A send is over without a whole answer. */
  #over(send: Send, end: SendEnd): void {
    this.#open.over(send, end);
    switch (end.kind) {
      case "moved":
        return this.#open.open(
          end.choice,
          this.#parts.resends.payReserved(this.#task.progress),
        );
      case "not_run":
        this.#reason = end.reason;
        // A server that was not reached is known to be down, and another one may be free.
        if (!end.isUnsent) this.#noteRefused();
        return;
      case "unknown":
        this.#reason = end.reason;
        this.#nextAtMs = -Infinity;
    }
  }

  /** A request that can wait is not sent again at once. */
  #noteRefused(): void {
    const isOpen = this.#open.count > 0;
    if (!this.#task.progress.begun && !isOpen) return;
    const minMs = isOpen ? RETRY_OPEN_MIN_MS : RETRY_MIN_MS;
    const pauseMs = Math.min(RETRY_MAX_MS, minMs * 2 ** this.#refusedCount);
    this.#refusedCount++;
    this.#nextAtMs = this.#nowMs + pauseMs;
  }

  #endLate(): AnswerEnd {
    if (this.#open.count > 0) this.#reason = CloseReason.deadline;
    const reason = this.#reason;
    return { kind: "given_up", reason, refusal: ResendRefusal.noTime };
  }

  #wakeAtMs(): number {
    const { wanted } = this.#parts;
    const nowMs = this.#nowMs;
    const times = [this.#task.request.answerByMs, this.#nextAtMs];
    for (const send of this.#open.all) {
      times.push(nextLookAtMs(send, { wanted, nowMs }));
    }
    return times.reduce(
      (first, atMs) => atMs > nowMs ? Math.min(first, atMs) : first,
      nowMs + LOOK_MS,
    );
  }
}
