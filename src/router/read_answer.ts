/** Reads and validates a backend server's response, and updates the server's state from it. */
import { ByteCollector, type Clock } from "../base/mod.ts";
import { readAnswer } from "../platform/mod.ts";
import { expectedTtftMs, INITIAL_RATES } from "../service_rates/mod.ts";
import { AnswerBuffers } from "./answer_buffers.ts";
import {
  areIdsAscending,
  isIdempotent,
  rejectionReason,
} from "./answer_rules.ts";
import {
  brokenEnd,
  bufferedBytes,
  clearBody,
  type NotRun,
  type PartialAnswer,
  type PartialBody,
  type Send,
  type SendEnd,
  stoppedEnd,
} from "./attempt.ts";
import type { AnswerHead, AnswerStep, ChannelFailure } from "./channel.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { Fleet } from "./fleet.ts";
import { type AnswerFacts, type BackendServer, RequestKind } from "./model.ts";
import type { RoutedRequest } from "./request.ts";
import type { Server } from "./server.ts";

/** How long a server that refused a request, e.g. as its weights are being changed, gets no other. */
const REFUSED_HOLD_MS = 250;
/** Error code of a connection attempt if nothing listens at the server's address. */
const REFUSED_CODE = "ECONNREFUSED";
/** Above this share of the time to the first byte, the expected copy time was probably too long. */
const MAX_COPY_SHARE = 0.5;
/** Largest response other than a stream; such responses are buffered until they are complete. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Largest event of a stream; its bytes are buffered until it is complete. */
const MAX_EVENT_BYTES = 4 * 1024 * 1024;

/** End of a send whose answer is too large, alone or together with other incomplete answers. */
const TOO_LARGE: SendEnd = { kind: "unknown", reason: "answer_too_large" };

/** One part of a response. */
export type AnswerPart =
  /** The server runs the request and has started the stream. */
  | { kind: "began" }
  /** Complete events. */
  | { kind: "events"; bytes: Buffer; lastEventId: string | undefined }
  /** The stream is complete. */
  | { kind: "stream_end" }
  /** A complete response other than a stream. */
  | { kind: "whole"; body: Buffer }
  /** The send ended without a complete response. */
  | { kind: "over"; end: SendEnd };

/** Dependencies of an {@link AnswerReader}. */
export interface AnswerReaderOptions {
  clock: Clock;
  fleet: Fleet;
  /** Called when a server refuses connections, to notify the other entries. */
  onSilent(serverId: string): void;
  /** Called when another server uses a server's address, to notify the other entries. */
  onGone(server: BackendServer): void;
  /** Most bytes of incomplete answers; default: the share on the smallest instances. */
  maxAnswerBytes?: number;
}

/** Reads the responses of backend servers. */
export class AnswerReader {
  readonly #options: AnswerReaderOptions;
  readonly #buffers: AnswerBuffers;

  private constructor(options: AnswerReaderOptions) {
    this.#options = options;
    this.#buffers = AnswerBuffers.create({ maxBytes: options.maxAnswerBytes });
  }

  /**
   * @param options Dependencies.
   * @returns A reader.
   */
  static create(options: AnswerReaderOptions): AnswerReader {
    return new AnswerReader(options);
  }

  /**
   * @param send Send that has not ended.
   * @returns The next part of its response, if it has arrived.
   */
  read(send: Send): AnswerPart | undefined {
    while (true) {
      if (send.buffer?.isDropped) return over(TOO_LARGE);
      const step = send.exchange.take();
      if (!step) return undefined;
      const part = this.#handleStep(send, step);
      if (part) return part;
    }
  }

  #handleStep(send: Send, step: AnswerStep): AnswerPart | undefined {
    switch (step.kind) {
      case "failed":
        return over(this.#endOfFailure(send, step.failure));
      case "head":
        return this.#handleHead(send, step.head);
      case "data":
      case "end": {
        const part = this.#handleBody(send, step);
        if (send.answer) send.buffer?.resize(bufferedBytes(send.answer.body));
        return part;
      }
    }
  }

  #handleHead(send: Send, head: AnswerHead): AnswerPart | undefined {
    const { request, choice, progress } = send;
    const facts = readAnswer(head.status, head.headers);
    const nowMs = this.#options.clock.nowMs();
    choice.server.recordByte(nowMs);
    this.#recordAnnouncements(choice.server, facts, nowMs);
    if (isForeign(facts, request.facts.requestId)) {
      // A late response to an earlier request: the one to this request may still follow.
      choice.server.health.failed(nowMs);
      return over({ kind: "unknown", reason: "foreign_answer" });
    }
    this.#recordRate(send, facts);
    if (facts.notRun) {
      const end = this.#endOfRefusal(send, facts);
      const isProven = head.isFirst || facts.requestId !== undefined;
      return over(isProven ? end : unproven(end, request));
    }
    this.#recordResponse(send, facts, nowMs);
    send.headAtMs = nowMs;
    send.idleSinceMs = nowMs;
    progress.ttftMs ??= nowMs - request.arrivedAtMs;
    const isStream = request.route.kind === RequestKind.stream &&
      facts.status === 200;
    const body: PartialBody = isStream
      ? { kind: "stream", splitter: EventSplitter.create() }
      : { kind: "whole", collector: ByteCollector.create() };
    send.answer = { head, facts, body };
    send.buffer = this.#buffers.open({
      serverId: choice.server.id,
      onDropped: () => {
        clearBody(body);
        send.exchange.abort();
      },
    });
    if (!isStream) return undefined;
    const problem = rejectionReason(facts);
    return problem
      ? over({ kind: "unknown", reason: problem })
      : { kind: "began" };
  }

  #handleBody(
    send: Send,
    step: Extract<AnswerStep, { kind: "data" | "end" }>,
  ): AnswerPart | undefined {
    const { answer, choice } = send;
    if (!answer) {
      return over({ kind: "unknown", reason: "answer_without_head" });
    }
    const nowMs = this.#options.clock.nowMs();
    choice.server.recordByte(nowMs);
    send.idleSinceMs = nowMs;
    const { body, facts } = answer;
    switch (body.kind) {
      case "stream":
        if (step.kind === "end") return endOfStream(send, answer);
        send.firstEventAtMs ??= nowMs;
        return this.#handleEvents(send, body.splitter.push(step.bytes)) ??
          tooLargeEvent(body.splitter);
      case "whole":
        if (step.kind === "end") return this.#endWhole(send, facts, body);
        body.collector.push(step.bytes);
        return body.collector.sizeBytes > MAX_ANSWER_BYTES
          ? over(TOO_LARGE)
          : undefined;
    }
  }

  #handleEvents(
    { choice, progress }: Send,
    { bytes, ids }: { bytes: Buffer; ids: string[] },
  ): AnswerPart | undefined {
    if (bytes.length === 0) return undefined;
    if (!areIdsAscending(ids, progress.lastEventId)) {
      choice.server.health.failed(this.#options.clock.nowMs());
      return over({ kind: "unknown", reason: "events_out_of_order" });
    }
    return { kind: "events", bytes, lastEventId: ids.at(-1) };
  }

  #endWhole(
    { choice }: Send,
    facts: AnswerFacts,
    { collector }: Extract<PartialBody, { kind: "whole" }>,
  ): AnswerPart {
    const problem = rejectionReason(facts);
    if (problem || facts.status >= 500) {
      choice.server.health.failed(this.#options.clock.nowMs());
    }
    return problem
      ? over({ kind: "unknown", reason: problem })
      : { kind: "whole", body: collector.take() };
  }

  #endOfFailure(send: Send, { kind, message }: ChannelFailure): SendEnd {
    const nowMs = this.#options.clock.nowMs();
    if (kind === "broken") return brokenEnd(send, message, nowMs);
    const { health, id } = send.choice.server;
    // A server that refuses connections looks idle and would attract the next requests of every
    // entry. Other failures may come from this entry's own links or from too many connections.
    const isRefused = message === REFUSED_CODE;
    if (isRefused && !health.isDown) this.#options.onSilent(id);
    if (isRefused) health.refusedConnection(nowMs);
    else health.unreachable(nowMs);
    return { kind: "not_run", reason: message, isUnsent: true };
  }

  #endOfRefusal({ choice, request }: Send, facts: AnswerFacts): NotRun {
    const { server } = choice;
    const nowMs = this.#options.clock.nowMs();
    if (facts.serverId !== undefined && facts.serverId !== server.id) {
      this.#options.fleet.dropReplaced(server);
      this.#options.onGone(server.entry);
      return { kind: "not_run", reason: "wrong_server" };
    }
    const { prompt } = request.facts;
    if (facts.status === 421 && prompt) {
      // The version is left to the server's own report: assuming the newest one here would keep the
      // server from being ordered to load it.
      if (facts.weightsVersion === undefined) {
        server.refused(nowMs + REFUSED_HOLD_MS);
      } else server.recordWeights(prompt.model, facts.weightsVersion);
      return { kind: "not_run", reason: "other_weights" };
    }
    // A missing backup doesn't mean that the engine refuses other requests.
    if (!choice.copy?.lostRun) server.refused(nowMs + REFUSED_HOLD_MS);
    return { kind: "not_run", reason: `refused_${facts.status}` };
  }

  /** Records the server's announcements in a response: that it is leaving, or wants a pause. */
  #recordAnnouncements(
    server: Server,
    facts: AnswerFacts,
    nowMs: number,
  ): void {
    const { leaving, notRun, status, retryAfterMs } = facts;
    if (leaving) this.#options.fleet.markLeaving(server, nowMs);
    const isRejected = notRun || status === 503;
    if (isRejected && retryAfterMs) {
      server.announcements.pause(nowMs, retryAfterMs);
    }
  }

  #recordRate({ choice, sentAtMs }: Send, facts: AnswerFacts): void {
    const { server } = choice;
    const { rate, notRun: isRefusal, serverId } = facts;
    // The answer of another server at the same address says nothing about this one.
    if (serverId !== undefined && serverId !== server.id) return;
    this.#options.fleet.recordRate(server, { rate, isRefusal, sentAtMs });
  }

  #recordResponse(send: Send, facts: AnswerFacts, nowMs: number): void {
    const { choice, ticket, request } = send;
    const { server } = choice;
    recordTime(send, facts, nowMs);
    server.order.recordStart(send, nowMs);
    ticket.started();
    const { prompt } = request.facts;
    if (prompt && facts.weightsVersion !== undefined) {
      server.recordWeights(prompt.model, facts.weightsVersion);
    }
  }
}

/** Learns from the time to the answer's first byte. */
function recordTime(
  { choice, sentAtMs, progress }: Send,
  { status }: AnswerFacts,
  nowMs: number,
): void {
  const { server, expectedMs, load, copyMs = 0, uncachedTokens } = choice;
  const tookMs = nowMs - sentAtMs;
  // The expected time of a moved run is unknown, and stated as 0. Requests that were not executed tell
  // nothing about the server's speed.
  if (status === 200 && expectedMs > 0) {
    progress.firstByteRatio ??= tookMs / expectedMs;
  }
  if (!load || !choice.usesLearnedRates) {
    const baseMs = expectedMs / server.health.slowness(nowMs);
    server.health.answered(nowMs, tookMs / Math.max(1, baseMs));
    return;
  }
  const { pendingTokens: queuedTokens, running } = load;
  const work = { queuedTokens, running, uncachedTokens };
  // The slowness stays relative to the constants, as it is used while rates aren't learned.
  const constantMs = expectedTtftMs(INITIAL_RATES, work) + copyMs;
  server.health.answered(nowMs, tookMs / constantMs);
  if (status !== 200 || copyMs > MAX_COPY_SHARE * tookMs) return;
  server.times.record({ ...work, ttftMs: tookMs - copyMs }, nowMs);
}

function endOfStream(
  send: Send,
  { head: { isFramed }, body }: PartialAnswer,
): AnswerPart {
  const { firstEventAtMs, progress } = send;
  // A stopped run's stream is closed without its end, and without a declared end looks complete.
  const stopped = isFramed ? undefined : stoppedEnd(send);
  if (stopped) return over(stopped);
  if (body.kind === "stream" && body.splitter.remainderBytes > 0) {
    return over({ kind: "unknown", reason: "cut_event", isBroken: true });
  }
  const isEmpty = firstEventAtMs === undefined &&
    progress.lastEventId === undefined;
  return isEmpty && !isFramed
    ? over({ kind: "unknown", reason: "empty_stream", isBroken: true })
    : { kind: "stream_end" };
}

/** A refusal that may belong to another request. */
function unproven(end: NotRun, { route }: RoutedRequest): SendEnd {
  return isIdempotent(route)
    ? { ...end, isUnproven: true }
    : { kind: "unknown", reason: "unproven_refusal" };
}

/** Servers put the request's id into every response but some refusals. */
function isForeign({ requestId, notRun }: AnswerFacts, ownId: string): boolean {
  if (requestId !== undefined) return requestId !== ownId;
  return !notRun && ownId !== "";
}

function tooLargeEvent(
  { remainderBytes }: EventSplitter,
): AnswerPart | undefined {
  return remainderBytes > MAX_EVENT_BYTES
    ? over({ kind: "unknown", reason: "event_too_large" })
    : undefined;
}

function over(end: SendEnd): AnswerPart {
  return { kind: "over", end };
}
