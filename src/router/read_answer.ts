/** Reads a backend server's answer, checks it, and learns from it. */
import type { Clock } from "../base/mod.ts";
import { readAnswer } from "../platform/mod.ts";
import { follows, problemOf } from "./answer_rules.ts";
import { endBroken, type PartialBody, type Send } from "./attempt.ts";
import type { SendEnd } from "./attempt.ts";
import type { AnswerHead, AnswerStep, ChannelFailure } from "./channel.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { Fleet } from "./fleet.ts";
import { type AnswerFacts, type BackendServer, RequestKind } from "./model.ts";
import type { Server } from "./server.ts";

/** A server whose weights are being changed refuses; it is left alone for this long. */
const REFUSED_HOLD_MS = 250;
/** Nothing listens at the server's address. */
const REFUSED_CODE = "ECONNREFUSED";
/** Answers that are not streams are passed on once they are whole; larger ones are failed. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** One part of an answer. */
export type AnswerPart =
  /** The server runs the request, and its stream begins. */
  | { kind: "began" }
  /** Whole events. */
  | { kind: "events"; bytes: Buffer; lastEventId: string | undefined }
  /** The stream is complete. */
  | { kind: "stream_end" }
  /** An answer that is no stream, complete. */
  | { kind: "whole"; body: Buffer }
  /** The send is over without a whole answer. */
  | { kind: "over"; end: SendEnd };

/** What an {@link AnswerReader} works with. */
export interface AnswerReaderOptions {
  clock: Clock;
  fleet: Fleet;
  /** A server has gone silent or refuses connections; other entries are told. */
  onSilent(serverId: string): void;
  /** Another server has its address; other entries are told. */
  onGone(server: BackendServer): void;
}

/** Reads answers. */
export class AnswerReader {
  readonly #options: AnswerReaderOptions;

  private constructor(options: AnswerReaderOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock, servers, and who is told of what is learned.
   * @returns A reader.
   */
  static create(options: AnswerReaderOptions): AnswerReader {
    return new AnswerReader(options);
  }

  /**
   * @param send A send that is not over.
   * @returns The next part of its answer, if it has come.
   */
  read(send: Send): AnswerPart | undefined {
    while (true) {
      const step = send.exchange.take();
      if (!step) return undefined;
      const part = this.#partOf(send, step);
      if (part) return part;
    }
  }

  #partOf(send: Send, step: AnswerStep): AnswerPart | undefined {
    switch (step.kind) {
      case "failed":
        return over(this.#failed(send, step.failure));
      case "head":
        return this.#begin(send, step.head);
      case "data":
      case "end":
        return this.#goOn(send, step);
    }
  }

  #begin(send: Send, head: AnswerHead): AnswerPart | undefined {
    const { request, choice, progress } = send;
    const facts = readAnswer(head.status, head.headers);
    const nowMs = this.#options.clock.nowMs();
    choice.server.heard(nowMs);
    this.#hearOf(choice.server, facts, nowMs);
    if (isForeign(facts, request.facts.requestId)) {
      // A late answer to an earlier request: this request's own may still follow.
      choice.server.health.failed(nowMs);
      return over({ kind: "unknown", reason: "foreign_answer" });
    }
    if (facts.notRun) return over(this.#refused(send, facts));
    this.#learn(send, facts, nowMs);
    send.headAtMs = nowMs;
    send.quietSinceMs = nowMs;
    progress.ttftMs ??= nowMs - request.arrivedAtMs;
    const isStream = request.route.kind === RequestKind.stream &&
      facts.status === 200;
    const body: PartialBody = isStream
      ? { kind: "stream", splitter: EventSplitter.create() }
      : { kind: "whole", chunks: [], sizeBytes: 0 };
    send.answer = { head, facts, body };
    if (!isStream) return undefined;
    const problem = problemOf(facts);
    return problem
      ? over({ kind: "unknown", reason: problem })
      : { kind: "began" };
  }

  #goOn(
    send: Send,
    step: Extract<AnswerStep, { kind: "data" | "end" }>,
  ): AnswerPart | undefined {
    const { answer, choice } = send;
    if (!answer) {
      return over({ kind: "unknown", reason: "answer_without_head" });
    }
    const nowMs = this.#options.clock.nowMs();
    choice.server.heard(nowMs);
    send.quietSinceMs = nowMs;
    const { body, facts } = answer;
    switch (body.kind) {
      case "stream":
        if (step.kind === "end") return endOfStream(body);
        send.runsFromMs ??= nowMs;
        return this.#eventsOf(send, body.splitter.push(step.bytes));
      case "whole":
        if (step.kind === "end") return this.#whole(send, facts, body);
        body.chunks.push(step.bytes);
        body.sizeBytes += step.bytes.length;
        return body.sizeBytes > MAX_ANSWER_BYTES
          ? over({ kind: "unknown", reason: "answer_too_large" })
          : undefined;
    }
  }

  #eventsOf(
    { choice, progress }: Send,
    { bytes, ids }: { bytes: Buffer; ids: string[] },
  ): AnswerPart | undefined {
    if (bytes.length === 0) return undefined;
    if (!follows(ids, progress.lastEventId)) {
      choice.server.health.failed(this.#options.clock.nowMs());
      return over({ kind: "unknown", reason: "events_out_of_order" });
    }
    return { kind: "events", bytes, lastEventId: ids.at(-1) };
  }

  #whole(
    { choice }: Send,
    facts: AnswerFacts,
    { chunks }: Extract<PartialBody, { kind: "whole" }>,
  ): AnswerPart {
    const problem = problemOf(facts);
    if (problem || facts.status >= 500) {
      choice.server.health.failed(this.#options.clock.nowMs());
    }
    return problem
      ? over({ kind: "unknown", reason: problem })
      : { kind: "whole", body: Buffer.concat(chunks) };
  }

  #failed(send: Send, { kind, message }: ChannelFailure): SendEnd {
    const nowMs = this.#options.clock.nowMs();
    if (kind === "broken") return endBroken(send, message, nowMs);
    const { health, id } = send.choice.server;
    // Idle as it seems, it would get the next requests of every entry. Other failures may be those
    // of this entry's own links, or of one connection too many.
    const hasEnded = message === REFUSED_CODE;
    if (hasEnded && !health.isDown) this.#options.onSilent(id);
    if (hasEnded) health.refusedConnection(nowMs);
    else health.unreachable(nowMs);
    return { kind: "not_run", reason: message, isUnsent: true };
  }

  #refused({ choice, request }: Send, facts: AnswerFacts): SendEnd {
    const { server } = choice;
    const nowMs = this.#options.clock.nowMs();
    if (facts.serverId !== undefined && facts.serverId !== server.id) {
      this.#options.fleet.giveUp(server);
      this.#options.onGone(server.entry);
      return { kind: "not_run", reason: "wrong_server" };
    }
    const { prompt } = request.facts;
    if (facts.status === 421 && prompt) {
      // Which ones it has is for its report to say; taken for the newest, it would not be ordered them.
      if (facts.weightsVersion === undefined) {
        server.refused(nowMs + REFUSED_HOLD_MS);
      } else server.learnWeights(prompt.model, facts.weightsVersion);
      return { kind: "not_run", reason: "other_weights" };
    }
    server.refused(nowMs + REFUSED_HOLD_MS);
    return { kind: "not_run", reason: `refused_${facts.status}` };
  }

  /** What an answer says of its server, whatever it says of the request. */
  #hearOf(server: Server, facts: AnswerFacts, nowMs: number): void {
    const { leaving, notRun, status, retryAfterMs } = facts;
    if (leaving) this.#options.fleet.leaves(server, nowMs);
    const isTurnedAway = notRun || status === 503;
    if (isTurnedAway && retryAfterMs) {
      server.announced.pause(nowMs, retryAfterMs);
    }
  }

  #learn(send: Send, facts: AnswerFacts, nowMs: number): void {
    const { choice, sentAtMs, ticket, request } = send;
    const { server } = choice;
    const baseMs = choice.expectedMs / server.health.slowness(nowMs);
    server.health.answered(nowMs, (nowMs - sentAtMs) / Math.max(1, baseMs));
    server.order.began(send, nowMs);
    ticket.started();
    const { prompt } = request.facts;
    if (prompt && facts.weightsVersion !== undefined) {
      server.learnWeights(prompt.model, facts.weightsVersion);
    }
  }
}

function endOfStream(
  { splitter }: Extract<PartialBody, { kind: "stream" }>,
): AnswerPart {
  return splitter.rest.length > 0
    ? over({ kind: "unknown", reason: "cut_event", isBroken: true })
    : { kind: "stream_end" };
}

/** Servers name the request in whatever they answer; a refusal runs nothing, whosever it is. */
function isForeign({ requestId, notRun }: AnswerFacts, ownId: string): boolean {
  if (requestId !== undefined) return requestId !== ownId;
  return !notRun && ownId !== "";
}

function over(end: SendEnd): AnswerPart {
  return { kind: "over", end };
}
