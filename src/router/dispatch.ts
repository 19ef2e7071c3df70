/** Sends a request to backend servers until one has answered it, and passes the answer on. */
import type { Clock, Logger } from "../base/mod.ts";
import { RetryBudget } from "../entry/retry_budget.ts";
import {
  answerHeaders,
  echoHeaders,
  forwardHeaders,
  readAnswer,
  retryHeaders,
} from "../platform/mod.ts";
import { comeBackMs, isWorthSending } from "./admission.ts";
import type { Chain } from "./cache_book.ts";
import type { AnswerHead, Exchange } from "./channel.ts";
import {
  type Choice,
  type ChoiceName,
  choose,
  type PromptPlacement,
  type PromptStore,
} from "./choose.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { Fleet } from "./fleet.ts";
import {
  type AnswerFacts,
  type RequestFacts,
  RequestKind,
  type Route,
  type Workspace,
} from "./model.ts";
import type { LoadTicket } from "./server.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Sends of one request, those included that were not run. */
const MAX_SENDS = 4;
/** Resends as a share of requests: the deployments allow 0.2 of them in 10 s, over all entries. */
const RESEND_SHARE = 0.15;
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
/** Less time than this is not worth another send. */
const RESEND_MIN_LEFT_MS = 40;
/** Refused clients are told to come back within this span, spread by chance. */
const RETRY_AFTER_MIN_MS = 200;
const RETRY_AFTER_MAX_MS = 700;
/** Clients heed a pause of at most this share of the time that they have left. */
const RETRY_AFTER_SHARE = 0.3;
/** A server whose weights are being changed refuses; it is left alone for this long. */
const REFUSED_HOLD_MS = 250;
/** Lowest priority that engines know. */
const ENGINE_PRIORITY_MAX = 9;
/** Answers that are not streams are passed on once they are whole; larger ones are failed. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Reason of refusals for want of time. */
const TOO_LATE = "too_late";

/** A request that is ready to be sent. */
export interface RoutedRequest {
  facts: RequestFacts;
  route: Route;
  service: string;
  workspace?: Workspace;
  /** The client's headers, names and values in turn. */
  rawHeaders: string[];
  body: Buffer | undefined;
  arrivedAtMs: number;
  /** When the client must have its answer. */
  answerByMs: number;
}

/** Where the answer goes. */
export interface AnswerSink {
  /** The client has gone. */
  readonly gone: boolean;
  /** @param listener Called once when the client goes. */
  onGone(listener: () => void): void;
  /** Begins an answer whose length is not known. */
  begin(status: number, headers: string[]): void;
  /** Passes on a part; resolves when the client can take more. */
  write(bytes: Buffer): Promise<void>;
  /** Ends an answer that was begun. */
  end(): void;
  /** Breaks off an answer that was begun, so that it doesn't look complete. */
  breakOff(): void;
  /** Sends a whole answer. */
  send(status: number, headers: string[], body: Buffer): void;
}

/** How a request ended, for log and metrics. */
export type Outcome =
  | { kind: "answered"; status: number }
  | { kind: "refused"; reason: string }
  | { kind: "failed"; reason: string; status: number }
  | { kind: "broken_off"; reason: string }
  | { kind: "client_gone" };

/** What became of a request. */
export interface Served {
  outcome: Outcome;
  /** Ids of the servers that it was sent to. */
  servers: string[];
  /** Time to the first byte of the answer; left out without one. */
  ttftMs?: number;
  /** Expected at the last choice. */
  expectedMs?: number;
}

/** What a {@link Dispatcher} works with. */
export interface DispatcherOptions {
  clock: Clock;
  log: Logger;
  fleet: Fleet;
  zone: string;
  random: () => number;
  choice: ChoiceName;
  wanted: WantedVersions;
  /** Where prompts are kept beside the engines' own caches. */
  promptStore(): PromptStore | undefined;
  /** A server has gone silent; other entries are told. */
  onSilent(serverId: string): void;
  /** A prompt was sent to a server or saved to a store; other entries are told. */
  onPrompt(placed: PlacedPrompt): void;
}

/** A prompt that a server reads, or a store is given. */
export interface PlacedPrompt {
  /** The server's id, or the store's address. */
  id: string;
  chain: Chain;
  /** Expected time until it is there. */
  readyInMs: number;
}

/** How one send ended. */
type SendEnd =
  | { kind: "done"; outcome: Outcome }
  | { kind: "not_run"; reason: string }
  /** It may have run. */
  | { kind: "unknown"; reason: string };

/** State of a request over its sends. */
interface Progress {
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

/** Sends requests and passes answers on. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #budget = RetryBudget.create();

  private constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /**
   * @param options Servers and helpers.
   * @returns A dispatcher.
   */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /**
   * @param request The request.
   * @param sink Where its answer goes; it gets exactly one, unless the client is gone.
   * @returns What became of it.
   */
  async serve(request: RoutedRequest, sink: AnswerSink): Promise<Served> {
    this.#budget.earn(request.service, RESEND_SHARE);
    const progress: Progress = {
      tried: new Set(),
      servers: [],
      runs: 0,
      sends: 0,
      begun: false,
      lastEventId: request.facts.lastEventId,
    };
    const outcome = await this.#serve(request, sink, { progress });
    const { servers, ttftMs, expectedMs } = progress;
    return { outcome, servers, ttftMs, expectedMs };
  }

  async #serve(
    request: RoutedRequest,
    sink: AnswerSink,
    { progress }: { progress: Progress },
  ): Promise<Outcome> {
    let reason = "no_server";
    while (!sink.gone) {
      const choice = this.#choose(request, progress);
      if (!choice) break;
      if (progress.sends === 0 && !this.#isWorthSending(request, choice)) {
        reason = TOO_LATE;
        break;
      }
      const end = await this.#send(request, sink, { progress, choice });
      if (end.kind === "done") return end.outcome;
      reason = end.reason;
      if (!this.#maySendAgain(request, progress, end)) break;
    }
    if (sink.gone) return { kind: "client_gone" };
    return this.#giveUp(request, sink, { progress, reason });
  }

  #isWorthSending(
    { route, answerByMs }: RoutedRequest,
    choice: Choice,
  ): boolean {
    // Plain services refuse what they can't take; only engines queue for long.
    if (!choice.chain) return true;
    return isWorthSending({
      expectedMs: choice.expectedMs,
      queueMs: choice.queueMs,
      targetMs: route.targetLatencyMs,
      leftMs: answerByMs - this.#options.clock.nowMs(),
      routeMs: route.timeoutMs,
    });
  }

  #choose(request: RoutedRequest, progress: Progress): Choice | undefined {
    const { fleet, clock, zone, random, choice } = this.#options;
    const choose_ = (tried: ReadonlySet<string>) =>
      choose({
        servers: fleet.open(request.service),
        zone,
        nowMs: clock.nowMs(),
        tried,
        prompt: this.#promptOf(request),
        random,
        choice,
      });
    // With every server tried, one that refused before may take it by now.
    const found = choose_(progress.tried);
    if (found || progress.runs > 0) return found;
    return progress.sends > 0 ? choose_(new Set()) : undefined;
  }

  #promptOf(request: RoutedRequest): PromptPlacement | undefined {
    const { prompt } = request.facts;
    if (!prompt) return undefined;
    return {
      model: prompt.model,
      promptTokens: prompt.promptTokens,
      outputTokens: prompt.outputTokens,
      wantedVersion: this.#options.wanted.newest(prompt.model),
      replacedForMs: (version) =>
        this.#options.wanted.replacedForMs(prompt.model, version),
      store: this.#options.promptStore(),
      chainFor: (version) => ({
        salt: saltOf(version, request.workspace),
        parts: prompt.parts,
      }),
    };
  }

  async #send(
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
    if (isFailure && this.#mayAskAnother(request, progress)) {
      return { kind: "unknown", reason: `status_${facts.status}` };
    }
    const headers = answerHeaders(head.headers);
    sink.send(facts.status, headers, Buffer.concat(chunks));
    return done({ kind: "answered", status: facts.status });
  }

  /** A failed answer of a server is replaced only where another server may still be asked. */
  #mayAskAnother(request: RoutedRequest, progress: Progress): boolean {
    const { route, service, answerByMs } = request;
    if (!isIdempotent(route)) return false;
    if (progress.runs + 1 >= route.maxAttempts) return false;
    if (answerByMs - this.#options.clock.nowMs() < RESEND_MIN_LEFT_MS) {
      return false;
    }
    const others = this.#options.fleet.open(service).some(({ id }) =>
      !progress.tried.has(id)
    );
    return others && this.#budget.has(service);
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

  #maySendAgain(
    request: RoutedRequest,
    progress: Progress,
    end: SendEnd,
  ): boolean {
    const { route, service, answerByMs } = request;
    if (progress.sends >= MAX_SENDS) return false;
    if (answerByMs - this.#options.clock.nowMs() < RESEND_MIN_LEFT_MS) {
      return false;
    }
    if (end.kind === "unknown") {
      if (!isIdempotent(route) || progress.runs >= route.maxAttempts) {
        return false;
      }
    }
    return this.#budget.spend(service);
  }

  #giveUp(
    request: RoutedRequest,
    sink: AnswerSink,
    { progress, reason }: { progress: Progress; reason: string },
  ): Outcome {
    if (progress.begun) {
      sink.breakOff();
      return { kind: "broken_off", reason };
    }
    const echo = echoHeaders(request.facts.requestId);
    const leftMs = request.answerByMs - this.#options.clock.nowMs();
    if (progress.runs === 0) {
      const { random } = this.#options;
      const pauseMs = reason === TOO_LATE
        ? comeBackMs(leftMs, random)
        : retryAfterMs(leftMs, random);
      const headers = [...echo, ...retryHeaders(pauseMs)];
      sink.send(503, headers, Buffer.alloc(0));
      return { kind: "refused", reason };
    }
    const status = leftMs <= RESEND_MIN_LEFT_MS ? 504 : 502;
    sink.send(status, echo, Buffer.alloc(0));
    return { kind: "failed", reason, status };
  }
}

/**
 * @param leftMs Time that the client has left.
 * @param random 0 to 1.
 * @returns When it is told to come back, spread so that refused clients don't come together.
 */
export function retryAfterMs(leftMs: number, random: () => number): number {
  const span = RETRY_AFTER_MAX_MS - RETRY_AFTER_MIN_MS;
  const pauseMs = RETRY_AFTER_MIN_MS + span * random();
  return Math.max(0, Math.min(pauseMs, leftMs * RETRY_AFTER_SHARE));
}

function isIdempotent(route: Route): boolean {
  switch (route.kind) {
    case RequestKind.safe:
      return true;
    case RequestKind.unsafe:
      return false;
    case RequestKind.stream:
      return route.resumable;
  }
}

/** Weights and walls part caches: nothing of another version, or of an isolated workspace. */
function saltOf(version: number, workspace: Workspace | undefined): string {
  return workspace?.isolated ? `w${version}.${workspace.name}` : `w${version}`;
}

/** Why an answer can't be passed on as the server's own. */
function problemOf(facts: AnswerFacts): string | undefined {
  if (facts.encoded) return "encoded_answer";
  const isSuccess = facts.status >= 200 && facts.status < 300;
  if (isSuccess && !facts.signed) return "unsigned_answer";
  if (isSuccess && !facts.framed) return "unframed_answer";
  // These would promise that the request did not run, which the server has not said.
  if ([408, 421, 429, 503].includes(facts.status)) {
    return `status_${facts.status}`;
  }
  return undefined;
}

/** Whether all events come behind the last one; ids are numbers that rise. */
function follows(ids: string[], lastEventId: string | undefined): boolean {
  let last = lastEventId === undefined ? -Infinity : Number(lastEventId);
  for (const id of ids) {
    const number = Number(id);
    if (Number.isFinite(number) && number <= last) return false;
    last = number;
  }
  return true;
}

function done(outcome: Outcome): SendEnd {
  return { kind: "done", outcome };
}
