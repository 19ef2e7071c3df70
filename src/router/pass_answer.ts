/** Passes a backend server's answer on to the client. */
import type { Clock } from "../base/mod.ts";
import { answerHeaders } from "../platform/mod.ts";
import { follows, isIdempotent, problemOf } from "./answer_rules.ts";
import {
  done,
  endBroken,
  endLate,
  LateReason,
  type Progress,
  type Send,
  type SendEnd,
} from "./attempt.ts";
import type { AnswerHead, AnswerStep } from "./channel.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { AnswerFacts } from "./model.ts";
import type { RunMover } from "./run_mover.ts";
import type { RoutedRequest } from "./request.ts";

/** A resumable stream without an event for this long goes on elsewhere, if any server can. */
const STREAM_GAP_MS = 1200;
/** Pause between looks at whether one can by now. */
const LOOK_MS = 250;
/** A run that was copied stops before the copy is complete; its stream is closed soon after. */
const MOVED_CLOSE_MS = 200;
/** Answers that are not streams are passed on once they are whole; larger ones are failed. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** What an {@link AnswerPasser} works with. */
export interface AnswerPasserOptions {
  clock: Clock;
  mover: RunMover;
  /** Whether another server can go on with a request; a send is then set aside for it. */
  mayLeave(send: Send): boolean;
  /** Whether a server's own failure may be replaced by another server's answer. */
  mayReplace(request: RoutedRequest, progress: Progress): boolean;
}

/** Passes answers on. */
export class AnswerPasser {
  readonly #options: AnswerPasserOptions;

  private constructor(options: AnswerPasserOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock and helpers.
   * @returns A passer.
   */
  static create(options: AnswerPasserOptions): AnswerPasser {
    return new AnswerPasser(options);
  }

  /**
   * Passes an answer on once it is whole, so that one cut short never looks complete.
   *
   * @param send A send whose answer has begun.
   * @param answer Head of the answer.
   * @returns How the send ended.
   */
  async passWhole(
    send: Send,
    { head, facts }: { head: AnswerHead; facts: AnswerFacts },
  ): Promise<SendEnd> {
    const { exchange, request, sink, progress, choice } = send;
    const { clock } = this.#options;
    const chunks: Buffer[] = [];
    let bytes = 0;
    while (true) {
      const step = await exchange.next(request.answerByMs - clock.nowMs());
      if (sink.gone) return done({ kind: "client_gone" });
      if (!step) return endLate(send, LateReason.deadline, clock.nowMs());
      if (step.kind === "failed") {
        return endBroken(send, step.failure.message, clock.nowMs());
      }
      if (step.kind === "end") break;
      if (step.kind !== "data") continue;
      chunks.push(step.bytes);
      bytes += step.bytes.length;
      if (bytes > MAX_ANSWER_BYTES) {
        return { kind: "unknown", reason: "answer_too_large" };
      }
    }
    const problem = problemOf(facts);
    if (problem) {
      choice.server.health.failed(clock.nowMs());
      return { kind: "unknown", reason: problem };
    }
    const isFailure = facts.status >= 500;
    if (isFailure) choice.server.health.failed(clock.nowMs());
    if (isFailure && this.#options.mayReplace(request, progress)) {
      return { kind: "unknown", reason: `status_${facts.status}` };
    }
    const headers = answerHeaders(head.headers);
    sink.send(facts.status, headers, Buffer.concat(chunks));
    return done({ kind: "answered", status: facts.status });
  }

  /**
   * Passes a stream on event by event.
   *
   * @param send A send whose answer has begun.
   * @param answer Head of the answer.
   * @returns How the send ended.
   */
  async passStream(
    send: Send,
    { head, facts }: { head: AnswerHead; facts: AnswerFacts },
  ): Promise<SendEnd> {
    const { request, sink, progress, choice } = send;
    const { clock, mover } = this.#options;
    const problem = problemOf(facts);
    if (problem) return { kind: "unknown", reason: problem };
    const splitter = EventSplitter.create();
    const startMs = clock.nowMs();
    while (true) {
      const step = await this.#nextOfStream(send);
      if (sink.gone) {
        if (send.move?.kind === "copied") mover.free(send.move.choice.copy);
        return done({ kind: "client_gone" });
      }
      if (!step) return this.#endSilent(send);
      choice.server.heard(clock.nowMs());
      if (step.kind === "failed") {
        return endBroken(send, step.failure.message, clock.nowMs());
      }
      if (step.kind === "end") break;
      if (step.kind !== "data") continue;
      send.runsFromMs ??= clock.nowMs();
      const events = splitter.push(step.bytes);
      if (events.bytes.length === 0) continue;
      if (!follows(events.ids, progress.lastEventId)) {
        choice.server.health.failed(clock.nowMs());
        return { kind: "unknown", reason: "events_out_of_order" };
      }
      this.#begin(send, head);
      progress.lastEventId = events.ids.at(-1) ?? progress.lastEventId;
      await sink.write(events.bytes);
    }
    if (splitter.rest.length > 0) {
      return { kind: "unknown", reason: "cut_event", isBroken: true };
    }
    this.#begin(send, head);
    const tookMs = clock.nowMs() - startMs;
    choice.server.learnOutput(tookMs, request.facts.prompt?.outputTokens ?? 0);
    sink.end();
    return done({ kind: "answered", status: facts.status });
  }

  /** The next step; nothing once the server is to be waited for no longer. */
  async #nextOfStream(send: Send): Promise<AnswerStep | undefined> {
    const { request, exchange, sink } = send;
    const { clock, mover, mayLeave } = this.#options;
    const sinceMs = clock.nowMs();
    while (true) {
      if (mover.isDue(send)) send.move = await mover.move(send);
      const nowMs = clock.nowMs();
      const gapLeftMs = sinceMs + gapOf(send) - nowMs;
      const waitMs = gapLeftMs > 0 ? gapLeftMs : LOOK_MS;
      const leftMs = request.answerByMs - nowMs;
      const step = await exchange.next(Math.min(leftMs, waitMs));
      if (step || sink.gone) return step;
      const endMs = clock.nowMs();
      if (endMs >= request.answerByMs) return undefined;
      if (endMs < sinceMs + gapOf(send)) continue;
      if (send.move?.kind === "copied" || mayLeave(send)) return undefined;
    }
  }

  #endSilent(send: Send): SendEnd {
    if (send.move?.kind === "copied") {
      send.exchange.abort();
      return { kind: "moved", choice: send.move.choice };
    }
    const nowMs = this.#options.clock.nowMs();
    const reason = nowMs >= send.request.answerByMs
      ? LateReason.deadline
      : LateReason.noEvent;
    return endLate(send, reason, nowMs);
  }

  #begin({ sink, progress }: Send, head: AnswerHead): void {
    if (progress.begun) return;
    progress.begun = true;
    sink.begin(head.status, answerHeaders(head.headers));
  }
}

/** Silence after which a stream goes on elsewhere. */
function gapOf({ move, request }: Send): number {
  if (move?.kind === "copied") return MOVED_CLOSE_MS;
  return isIdempotent(request.route) ? STREAM_GAP_MS : Infinity;
}
