/** One send of a request to a chosen backend server, and its answer on the way to the client. */
import type { Clock, Logger } from "../base/mod.ts";
import { answerHeaders, forwardHeaders, readAnswer } from "../platform/mod.ts";
import { follows, isIdempotent, problemOf } from "./answer_rules.ts";
import type { AnswerHead, Exchange } from "./channel.ts";
import type { Choice, PromptStore } from "./choose.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { Fleet } from "./fleet.ts";
import { type AnswerFacts, RequestKind } from "./model.ts";
import type {
  AnswerSink,
  Outcome,
  PlacedPrompt,
  RoutedRequest,
} from "./request.ts";
import type { LoadTicket } from "./server.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** A server that says nothing to anyone for this long, or longer than expected, is avoided. */
const SUSPECT_MIN_MS = 400;
const SUSPECT_CALL_MS = 700;
const SUSPECT_FACTOR = 4;
/** An idempotent call gets this share of its time at one server while another may be tried. */
const CALL_SHARE = 0.4;
/** A resumable stream without an event for this long goes on elsewhere. */
const STREAM_GAP_MS = 1200;
/** A resumable stream whose first event is this late, and later than expected, goes elsewhere. */
const FIRST_EVENT_MIN_MS = 1500;
const FIRST_EVENT_FACTOR = 4;
/** Time from a prompt's last token read until the store has it. */
const SAVE_MS = 60;
/** A server whose weights are being changed refuses; it is left alone for this long. */
const REFUSED_HOLD_MS = 250;
/** Lowest priority that engines know. */
const ENGINE_PRIORITY_MAX = 9;
/** Answers that are not streams are passed on once they are whole; larger ones are failed. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** How one send ended. */
export type SendEnd =
  | { kind: "done"; outcome: Outcome }
  | { kind: "not_run"; reason: string }
  /** It may have run. */
  | { kind: "unknown"; reason: string };

/** State of a request over its sends. */
export interface Progress {
  readonly tried: Set<string>;
  readonly servers: string[];
  /** Sends that may have run. */
  runs: number;
  sends: number;
  /** The client has the head of a stream. */
  begun: boolean;
  /** Last event that the client has. */
  lastEventId: string | undefined;
  ttftMs?: number;
  expectedMs?: number;
}

/** One send of a request. */
interface Send {
  request: RoutedRequest;
  sink: AnswerSink;
  progress: Progress;
  choice: Choice;
  exchange: Exchange;
  ticket: LoadTicket;
  sentAtMs: number;
}

/** What a {@link Sender} works with. */
export interface SenderOptions {
  clock: Clock;
  log: Logger;
  fleet: Fleet;
  wanted: WantedVersions;
  /** Where prompts are kept beside the engines' own caches. */
  promptStore(): PromptStore | undefined;
  /** A server has gone silent; other entries are told. */
  onSilent(serverId: string): void;
  /** A prompt was sent to a server or saved to a store; other entries are told. */
  onPrompt(placed: PlacedPrompt): void;
  /** Whether a server's own failure may be replaced by another server's answer. */
  mayReplace(request: RoutedRequest, progress: Progress): boolean;
}

/** Sends requests, each to one server. */
export class Sender {
  readonly #options: SenderOptions;

  private constructor(options: SenderOptions) {
    this.#options = options;
  }

  /**
   * @param options Servers and helpers.
   * @returns A sender.
   */
  static create(options: SenderOptions): Sender {
    return new Sender(options);
  }

  /**
   * @param request The request.
   * @param sink Where the answer goes.
   * @param options Where it is sent, and what happened to it before.
   * @returns How it ended; `done`: the client has its answer, or is gone.
   */
  async send(
    request: RoutedRequest,
    sink: AnswerSink,
    { progress, choice }: { progress: Progress; choice: Choice },
  ): Promise<SendEnd> {
    const { clock } = this.#options;
    const { server } = choice;
    const sentAtMs = clock.nowMs();
    progress.tried.add(server.id);
    progress.servers.push(server.id);
    progress.sends++;
    progress.expectedMs = choice.expectedMs;
    const isBound = !isIdempotent(request.route);
    const ticket = server.begin(choice.uncachedTokens, isBound);
    const exchange = server.channels.send({
      method: request.facts.method,
      target: request.facts.target,
      headers: this.#headers(request, progress, choice),
      body: request.body,
    });
    this.#notePrompt(choice, sentAtMs);
    sink.onGone(() => exchange.abort());
    const send = {
      request,
      sink,
      progress,
      choice,
      exchange,
      ticket,
      sentAtMs,
    };
    try {
      const end = await this.#receive(send);
      if (end.kind !== "not_run" && exchange.sent) progress.runs++;
      if (end.kind === "not_run" && choice.chain) {
        server.cache.forget(choice.chain, clock.nowMs());
      }
      return end;
    } finally {
      ticket.ended();
      exchange.abort();
    }
  }

  /** From now on the server is expected to have the prompt in its cache. */
  #notePrompt(choice: Choice, nowMs: number): void {
    const { server, chain, saveTo, expectedMs } = choice;
    if (!chain) return;
    const { onPrompt, promptStore } = this.#options;
    server.cache.use(chain, nowMs + expectedMs);
    onPrompt({ id: server.id, chain, readyInMs: expectedMs });
    if (saveTo === undefined) return;
    const savedInMs = expectedMs + SAVE_MS;
    promptStore()?.cache.use(chain, nowMs + savedInMs);
    onPrompt({ id: saveTo, chain, readyInMs: savedInMs });
  }

  #headers(
    request: RoutedRequest,
    progress: Progress,
    choice: Choice,
  ): string[] {
    const { route, workspace } = request;
    const isResumed = progress.lastEventId !== request.facts.lastEventId;
    const priority = workspace?.priority ?? route.priority;
    return forwardHeaders(request.rawHeaders, {
      deadlineMs: request.answerByMs - this.#options.clock.nowMs(),
      serverId: choice.server.id,
      workspace: workspace?.name,
      cacheSalt: choice.chain?.salt,
      weightsVersion: choice.weightsVersion,
      // A stream that goes on is late after a short pause, so it is admitted first.
      enginePriority: !choice.chain
        ? undefined
        : isResumed
        ? 0
        : Math.min(ENGINE_PRIORITY_MAX, Math.max(0, priority)),
      copyFrom: choice.copyFrom,
      saveTo: choice.saveTo,
      lastEventId: isResumed ? progress.lastEventId : undefined,
    });
  }

  async #receive(send: Send): Promise<SendEnd> {
    const head = await this.#awaitHead(send);
    if (head.kind !== "head") return head;
    const { request, choice, progress } = send;
    const { server } = choice;
    const facts = readAnswer(head.head.status, head.head.headers);
    const nowMs = this.#options.clock.nowMs();
    server.heard(nowMs);
    if (facts.requestId && facts.requestId !== request.facts.requestId) {
      // A late answer to an earlier request: this request's own may still follow.
      server.health.failed(nowMs);
      return { kind: "unknown", reason: "foreign_answer" };
    }
    if (facts.notRun) return this.#refusedBy(send, facts);
    this.#learn(send, facts, nowMs);
    progress.ttftMs ??= nowMs - request.arrivedAtMs;
    const isStream = request.route.kind === RequestKind.stream;
    if (isStream && facts.status === 200) {
      return this.#passStream(send, head.head, facts);
    }
    return this.#passWhole(send, head.head, facts);
  }

  /** Waits for the answer's head, and meanwhile notices a server that has gone silent. */
  async #awaitHead(
    send: Send,
  ): Promise<SendEnd | { kind: "head"; head: AnswerHead }> {
    const { exchange, choice, sentAtMs, sink } = send;
    const { clock } = this.#options;
    const suspectMinMs = choice.chain ? SUSPECT_MIN_MS : SUSPECT_CALL_MS;
    const suspectAtMs = sentAtMs +
      Math.max(suspectMinMs, SUSPECT_FACTOR * choice.expectedMs);
    const untilMs = this.#headUntilMs(send);
    let step = await exchange.next(
      Math.min(suspectAtMs, untilMs) - clock.nowMs(),
    );
    if (!step && clock.nowMs() < untilMs) {
      this.#suspect(send);
      step = await exchange.next(untilMs - clock.nowMs());
    }
    if (sink.gone) return done({ kind: "client_gone" });
    if (!step) return this.#tookTooLong(send);
    switch (step.kind) {
      case "head":
        return step;
      case "failed":
        return this.#failed(send, step.failure.kind, step.failure.message);
      case "data":
      case "end":
        return { kind: "unknown", reason: "answer_without_head" };
    }
  }

  /** When to stop waiting for the first byte at this server. */
  #headUntilMs({ request, progress, choice, sentAtMs }: Send): number {
    const { route, answerByMs } = request;
    if (!isIdempotent(route) || progress.runs + 1 >= route.maxAttempts) {
      return answerByMs;
    }
    const leftMs = answerByMs - sentAtMs;
    const waitMs = route.kind === RequestKind.stream
      ? Math.max(FIRST_EVENT_MIN_MS, FIRST_EVENT_FACTOR * choice.expectedMs)
      : leftMs * CALL_SHARE;
    return Math.min(answerByMs, sentAtMs + waitMs);
  }

  #suspect({ choice, sentAtMs, request }: Send): void {
    const { server } = choice;
    if (server.heardAtMs >= sentAtMs) return;
    const { clock, log } = this.#options;
    server.health.unreachable(clock.nowMs());
    this.#options.onSilent(server.id);
    log.warn({
      event: "server_silent",
      server: server.id,
      id: request.facts.requestId,
      expectedMs: Math.round(choice.expectedMs),
    });
  }

  #tookTooLong({ exchange, choice }: Send): SendEnd {
    const wasSent = exchange.sent;
    exchange.abort();
    choice.server.health.failed(this.#options.clock.nowMs());
    return wasSent
      ? { kind: "unknown", reason: "no_answer" }
      : { kind: "not_run", reason: "no_connection" };
  }

  #failed(
    { choice }: Send,
    kind: "unreachable" | "broken",
    reason: string,
  ): SendEnd {
    const { health } = choice.server;
    const nowMs = this.#options.clock.nowMs();
    if (kind === "broken") {
      health.failed(nowMs);
      return { kind: "unknown", reason };
    }
    health.unreachable(nowMs);
    return { kind: "not_run", reason };
  }

  #refusedBy({ choice, request }: Send, facts: AnswerFacts): SendEnd {
    const { server } = choice;
    const nowMs = this.#options.clock.nowMs();
    if (facts.serverId !== undefined && facts.serverId !== server.id) {
      this.#options.fleet.drop(server.id, "address_has_another_server");
      return { kind: "not_run", reason: "wrong_server" };
    }
    const { prompt } = request.facts;
    if (facts.status === 421 && prompt) {
      const version = facts.weightsVersion ??
        this.#options.wanted.newest(prompt.model);
      server.learnWeights(prompt.model, version);
      return { kind: "not_run", reason: "other_weights" };
    }
    server.holdBack(nowMs + REFUSED_HOLD_MS);
    return { kind: "not_run", reason: `refused_${facts.status}` };
  }

  #learn(send: Send, facts: AnswerFacts, nowMs: number): void {
    const { choice, sentAtMs, ticket, request } = send;
    const { server } = choice;
    const baseMs = choice.expectedMs / server.health.slowness(nowMs);
    server.health.answered(nowMs, (nowMs - sentAtMs) / Math.max(1, baseMs));
    ticket.started();
    const { prompt } = request.facts;
    if (prompt && facts.weightsVersion !== undefined) {
      server.learnWeights(prompt.model, facts.weightsVersion);
    }
  }

  /** Passes an answer on once it is whole, so that one cut short never looks complete. */
  async #passWhole(
    send: Send,
    head: AnswerHead,
    facts: AnswerFacts,
  ): Promise<SendEnd> {
    const { exchange, request, sink, progress, choice } = send;
    const { clock } = this.#options;
    const chunks: Buffer[] = [];
    let bytes = 0;
    while (true) {
      const step = await exchange.next(request.answerByMs - clock.nowMs());
      if (sink.gone) return done({ kind: "client_gone" });
      if (!step) return this.#tookTooLong(send);
      if (step.kind === "failed") {
        return this.#failed(send, "broken", step.failure.message);
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

  async #passStream(
    send: Send,
    head: AnswerHead,
    facts: AnswerFacts,
  ): Promise<SendEnd> {
    const { exchange, request, sink, progress, choice } = send;
    const { clock } = this.#options;
    const problem = problemOf(facts);
    if (problem) return { kind: "unknown", reason: problem };
    const splitter = EventSplitter.create();
    const gapMs = isIdempotent(request.route) ? STREAM_GAP_MS : Infinity;
    while (true) {
      const leftMs = request.answerByMs - clock.nowMs();
      const step = await exchange.next(Math.min(leftMs, gapMs));
      if (sink.gone) return done({ kind: "client_gone" });
      if (!step) return this.#tookTooLong(send);
      choice.server.heard(clock.nowMs());
      if (step.kind === "failed") {
        return this.#failed(send, "broken", step.failure.message);
      }
      if (step.kind === "end") break;
      if (step.kind !== "data") continue;
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
      return { kind: "unknown", reason: "cut_event" };
    }
    this.#begin(send, head);
    sink.end();
    return done({ kind: "answered", status: facts.status });
  }

  #begin({ sink, progress }: Send, head: AnswerHead): void {
    if (progress.begun) return;
    progress.begun = true;
    sink.begin(head.status, answerHeaders(head.headers));
  }
}

function done(outcome: Outcome): SendEnd {
  return { kind: "done", outcome };
}
