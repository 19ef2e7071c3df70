/**
 * Serves one request from its first send to its final response. A silent run is not cancelled: the
 * request is also sent to another server, both runs stay open, and the first one that responds
 * continues. A run is closed only
 * - when another run of the request has responded or continues the stream,
 * - when its engine has stopped it in order to move it,
 * - when its engine has started again, so that it is lost, and it may continue from its backup,
 * - before it starts on weights that were replaced too long ago to start a response,
 * - before its first event, when a part of its prompt turns out to crash servers,
 * - when the client has disconnected, or the deadline or the grace time of a shutdown has passed.
 * A started stream without an open run, if it may be sent again, waits for a server and for the resend
 * budget while its client stays connected. A lost run that has a backup continues from it, at most once,
 * also where the request may not be sent again.
 */
import type { Logger } from "../base/mod.ts";
import { applyVerdict } from "./send_verdict.ts";
import { AnswerWriter, type AnswerWriterParts } from "./answer_writer.ts";
import { closedEnd, CloseReason, type Send, type SendEnd } from "./attempt.ts";
import { type Choice, expectedAnswerMs } from "./choose.ts";
import type { ForwardEnd } from "./forward_end.ts";
import { SendBackoff } from "./send_backoff.ts";
import type { SendGate } from "./send_gate.ts";
import { type ForwardTask, OpenRuns, type OpenRunsParts } from "./open_runs.ts";
import {
  isSilent,
  movedCloseDeadlineMs,
  nextCheckAtMs,
  startDeadlineMs,
  suspectAtMs,
} from "./run_timeouts.ts";
import type { AnswerPart } from "./read_answer.ts";
import { RefusalReason } from "./refusal_reason.ts";
import { ResendRefusal, type RoutedRequest } from "./request.ts";
import { isTemporary } from "./resends.ts";
import { WakeSignal } from "./wake_signal.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Longest wait before the open runs and the available servers are checked again. */
const POLL_MS = 250;
/** Interval at which a started stream without an open run looks for a server. */
const POLL_NO_RUN_MS = 100;

/** Dependencies of a {@link RequestForwarder}. */
export interface ForwarderParts extends OpenRunsParts, AnswerWriterParts {
  log: Logger;
  wanted: WantedVersions;
  gate: Pick<SendGate, "choose" | "giveBack">;
  /** Whether the first send of a request can still meet the deadline. */
  isWorthSending(request: RoutedRequest, choice: Choice): boolean;
  /** Called when a server has become silent, to notify the other entries. */
  onSilent(serverId: string): void;
  /** End of the grace time for requests in flight; infinite unless the entry is shutting down. */
  drainEndMs(): number;
}

/** Serves one request, with retries and additional sends beside silent runs. */
export class RequestForwarder {
  readonly #parts: ForwarderParts;
  readonly #task: ForwardTask;
  readonly #wake = WakeSignal.create();
  readonly #runs: OpenRuns;
  readonly #writer: AnswerWriter;
  readonly #backoff = SendBackoff.create();
  /** Reason to report if the request is given up. */
  #reason: string = RefusalReason.noServer;

  private constructor(parts: ForwarderParts, task: ForwardTask) {
    this.#parts = parts;
    this.#task = task;
    this.#runs = OpenRuns.create(parts, task, { wake: this.#wake });
    this.#writer = AnswerWriter.create(parts, task);
  }

  /**
   * @param parts Dependencies.
   * @param task The request and the sink for its response.
   * @returns An instance that has sent nothing yet.
   */
  static create(parts: ForwarderParts, task: ForwardTask): RequestForwarder {
    return new RequestForwarder(parts, task);
  }

  /** @returns The result. If it is `given_up`, the caller must still respond to the client. */
  async run(): Promise<ForwardEnd> {
    const { sink } = this.#task;
    sink.onGone(() => {
      this.#runs.abort();
      this.#wake.notify();
    });
    while (!sink.gone) {
      const end = await this.#step();
      if (!end) continue;
      this.#runs.closeAll(CloseReason.deadline);
      if (end.kind !== "given_up") return end;
      const status = this.#writer.writeKeptFailure();
      return status === undefined ? end : { kind: "answered", status };
    }
    this.#runs.closeAll(CloseReason.clientGone);
    return { kind: "client_gone" };
  }

  /** Handles the next part of a response; if there is none, performs due actions and waits. */
  async #step(): Promise<ForwardEnd | undefined> {
    const read = this.#runs.read();
    if (read) return await this.#onPart(read.send, read.part);
    if (this.#nowMs >= this.#endAtMs) return this.#timeOut();
    const [first] = this.#runs.all;
    const isAlone = this.#runs.count === 1;
    if (first && isAlone && this.#parts.mover.isDue(first)) {
      // Parts that arrive during this call are read first in the next step.
      first.move = await this.#parts.mover.move(first);
      return undefined;
    }
    for (const send of this.#runs.all) this.#checkRun(send);
    const end = await this.#sendIfDue();
    if (!end) await this.#wake.wait(this.#wakeAtMs() - this.#nowMs);
    return end;
  }

  get #nowMs(): number {
    return this.#parts.clock.nowMs();
  }

  /** When the client must have its final response. */
  get #endAtMs(): number {
    return Math.min(this.#task.request.answerByMs, this.#parts.drainEndMs());
  }

  async #onPart(send: Send, part: AnswerPart): Promise<ForwardEnd | undefined> {
    if (!await this.#writer.mayContinueWith(send, part)) {
      return this.#endUnknown(send, "process_unknown");
    }
    switch (part.kind) {
      case "began":
        this.#task.progress.onAnswerBegan?.();
        // The other runs stay open until this one delivers events.
        return undefined;
      case "events":
        this.#continueWith(send);
        await this.#writer.writeEvents(send, part);
        send.idleSinceMs = this.#nowMs;
        this.#runs.delivered(send);
        return undefined;
      case "stream_end":
        return this.#writer.mayEndWith(send)
          ? this.#endStream(send)
          : this.#endUnknown(send, "undeclared_end");
      case "whole":
        return this.#handleWhole(send, part.body);
      case "over":
        this.#endRun(send, part.end);
        return undefined;
    }
  }

  #endStream(send: Send): ForwardEnd {
    const tookMs = this.#nowMs - send.headAtMs!;
    const tokens = this.#task.request.facts.prompt?.outputTokens ?? 0;
    send.choice.server.outputTimes.record(tookMs, tokens);
    this.#continueWith(send);
    this.#writer.endStream(send);
    return this.#finish(send);
  }

  #handleWhole(send: Send, body: Buffer): ForwardEnd | undefined {
    const { request, progress } = this.#task;
    const { status } = send.answer!.facts;
    const isReplaced = status >= 500 && (this.#runs.count > 1 ||
      this.#parts.resends.mayResendElsewhere(request, progress));
    if (isReplaced) this.#writer.keepFailure(send, body);
    // A started stream can be continued only by another stream.
    if (isReplaced || progress.streamStarted) {
      return this.#endUnknown(send, `status_${status}`);
    }
    this.#continueWith(send);
    this.#writer.writeWhole(send, body);
    return this.#finish(send);
  }

  #finish(send: Send): ForwardEnd {
    this.#runs.answered(send);
    return { kind: "answered", status: send.answer!.facts.status };
  }

  #continueWith(send: Send): void {
    this.#backoff.reset();
    this.#runs.keepOnly(send);
  }

  /** Closes a run whose wait has expired, or marks its silent server as suspected. */
  #checkRun(send: Send): void {
    const nowMs = this.#nowMs;
    const { move } = send;
    if (move?.kind === "copied") {
      if (nowMs < movedCloseDeadlineMs(send)) return;
      return this.#endRun(send, { kind: "moved", choice: move.choice });
    }
    if (this.#runs.isCrashLikely(send)) {
      // Closing the connection cancels the request before the engine answers it.
      return this.#endRun(send, closedEnd(send, CloseReason.partQuarantined));
    }
    if (this.#parts.runBackups.isEngineReplaced(send)) {
      return this.#endRun(send, closedEnd(send, CloseReason.engineReplaced));
    }
    if (send.answer) return;
    if (nowMs >= startDeadlineMs(send, { wanted: this.#parts.wanted, nowMs })) {
      // Closing the connection cancels the request before the engine starts it.
      return this.#endRun(send, closedEnd(send, CloseReason.weightsRetired));
    }
    if (!send.isSuspected && nowMs >= suspectAtMs(send)) this.#suspect(send);
  }

  #suspect(send: Send): void {
    send.isSuspected = true;
    const { choice: { server, expectedMs }, sentAtMs } = send;
    if (server.lastByteAtMs >= sentAtMs) return;
    server.health.unreachable(this.#nowMs);
    this.#parts.onSilent(server.id);
    this.#parts.log.warn({
      event: "server_silent",
      server: server.id,
      id: this.#task.request.facts.requestId,
      expectedMs: Math.round(expectedMs),
    });
  }

  /** Sends the request if it has no open run, or if all of them are silent. */
  async #sendIfDue(): Promise<ForwardEnd | undefined> {
    const nowMs = this.#nowMs;
    if (nowMs < this.#backoff.nextAtMs) return undefined;
    if (this.#runs.all.some((send) => !isSilent(send, nowMs))) return undefined;
    const refusal = await this.#sendNext();
    if (!refusal) return undefined;
    // A client that has received nothing yet is better off with an error that it can retry.
    const mayWait = this.#task.progress.streamStarted && isTemporary(refusal);
    if (this.#runs.count === 0 && !mayWait) {
      return { kind: "given_up", reason: this.#reason, refusal };
    }
    const pollMs = this.#runs.count > 0 ? POLL_MS : POLL_NO_RUN_MS;
    this.#backoff.waitUntil(nowMs + pollMs);
    return undefined;
  }

  /** Sends the request to one more server, or returns why it can't. */
  async #sendNext(): Promise<ResendRefusal | undefined> {
    const { request, progress, sink } = this.#task;
    const { resends, gate } = this.#parts;
    if (this.#runs.hasLost && await this.#runs.restore()) return undefined;
    const refusal = resends.refusalOf(request, progress, this.#runs.state);
    if (refusal) return refusal;
    if (this.#isQuarantined()) return ResendRefusal.quarantined;
    const chosen = gate.choose(request, progress, this.#runs.servers);
    const choice = chosen instanceof Promise ? await chosen : chosen;
    const isQuarantined = chosen instanceof Promise && this.#isQuarantined();
    if (!choice || sink.gone || isQuarantined) {
      if (choice) gate.giveBack(choice);
      return isQuarantined ? ResendRefusal.quarantined : ResendRefusal.noServer;
    }
    const unsent = this.#sendTo(choice);
    if (unsent) gate.giveBack(choice);
    return unsent;
  }

  #sendTo(choice: Choice): ResendRefusal | undefined {
    const { request, progress } = this.#task;
    const { resends, isWorthSending, drainEndMs } = this.#parts;
    if (progress.sends === 0 && !isWorthSending(request, choice)) {
      this.#reason = RefusalReason.tooLate;
      progress.tooLate = choice;
      return ResendRefusal.noTime;
    }
    const expectedEndMs = this.#nowMs + expectedAnswerMs(request, choice);
    if (progress.sends === 0 && expectedEndMs >= drainEndMs()) {
      this.#reason = RefusalReason.shutdown;
      return ResendRefusal.noTime;
    }
    const open = this.#runs.state;
    const payment = resends.chargeSend(request, progress, open);
    if (payment.kind === "refused") return ResendRefusal.noBudget;
    if (open.count > 0) progress.hedgedSends++;
    this.#runs.open(choice, payment);
    return undefined;
  }

  /** Checked before each send, as servers may have terminated during this very attempt. */
  #isQuarantined(): boolean {
    const { request, progress } = this.#task;
    const verdict = this.#parts.quarantine.verdict(request);
    const reason = applyVerdict(verdict, progress);
    this.#reason = reason ?? this.#reason;
    return reason !== undefined;
  }

  /** Handles a send that ended without a complete response. */
  #endRun(send: Send, end: SendEnd): void {
    this.#runs.finishRun(send, end);
    switch (end.kind) {
      case "moved":
        return this.#runs.open(
          end.choice,
          this.#parts.resends.chargeReservedSend(this.#task.progress),
        );
      case "not_run":
        // The reason why the run was lost is kept, and the request can't be sent again.
        if (send.choice.copy?.lostRun) return;
        this.#reason = end.reason;
        // An unreachable server is marked as down, so another one may be tried without backoff.
        if (!end.isUnsent) this.#backOff();
        return;
      case "unknown":
        this.#reason = end.reason;
        this.#backoff.endDelay();
    }
  }

  #endUnknown(send: Send, reason: string): undefined {
    this.#endRun(send, { kind: "unknown", reason });
  }

  /** Delays the next send if the stream has started or another run is open. */
  #backOff(): void {
    const isOpen = this.#runs.count > 0;
    if (!this.#task.progress.streamStarted && !isOpen) return;
    this.#backoff.refused(this.#nowMs, isOpen);
  }

  #timeOut(): ForwardEnd {
    if (this.#nowMs < this.#task.request.answerByMs) {
      this.#reason = RefusalReason.shutdown;
      this.#runs.closeAll(CloseReason.shutdown);
    } else if (this.#runs.count > 0) {
      this.#reason = CloseReason.deadline;
    }
    const refusal = ResendRefusal.noTime;
    return { kind: "given_up", reason: this.#reason, refusal };
  }

  #wakeAtMs(): number {
    const nowMs = this.#nowMs;
    const times = [this.#backoff.nextAtMs];
    for (const send of this.#runs.all) {
      times.push(nextCheckAtMs(send, { wanted: this.#parts.wanted, nowMs }));
    }
    // An end that has passed since this step checked it is due at once.
    return times.reduce(
      (first, atMs) => atMs > nowMs ? Math.min(first, atMs) : first,
      Math.min(this.#endAtMs, nowMs + POLL_MS),
    );
  }
}
