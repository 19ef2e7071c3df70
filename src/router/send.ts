/** One send of a request to a chosen backend server, and its answer on the way to the client. */
import type { Clock, Logger } from "../base/mod.ts";
import { forwardHeaders, readAnswer } from "../platform/mod.ts";
import { enginePriority, hasComeBack } from "./admission.ts";
import { isIdempotent } from "./answer_rules.ts";
import { HeadWaiter } from "./await_head.ts";
import {
  done,
  endBroken,
  endLate,
  LateReason,
  type Progress,
  type Send,
  type SendEnd,
} from "./attempt.ts";
import type { AnswerHead, AnswerStep, ChannelFailure } from "./channel.ts";
import type { CacheBook } from "./cache_book.ts";
import type { Choice } from "./choose.ts";
import type { Fleet } from "./fleet.ts";
import { type AnswerFacts, type BackendServer, RequestKind } from "./model.ts";
import type { AnswerPasser } from "./pass_answer.ts";
import type { Quarantine } from "./quarantine.ts";
import type {
  AnswerSink,
  ChosenWeights,
  PlacedPrompt,
  RoutedRequest,
} from "./request.ts";
import type { Server } from "./server.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Time from a prompt's last token read until the store has it. */
const SAVE_MS = 60;
/** A server whose weights are being changed refuses; it is left alone for this long. */
const REFUSED_HOLD_MS = 250;
/** Nothing listens at the server's address. */
const REFUSED_CODE = "ECONNREFUSED";
/** What a {@link Sender} works with. */
export interface SenderOptions {
  clock: Clock;
  log: Logger;
  fleet: Fleet;
  wanted: WantedVersions;
  /** Expected cache of a server, by id, or of a store, by address. */
  cacheOf(id: string): CacheBook | undefined;
  /** A server has gone silent or refuses connections; other entries are told. */
  onSilent(serverId: string): void;
  /** Whether another server can take a request; a send is then set aside for it. */
  mayLeave(send: Send): boolean;
  /** Another server has its address; other entries are told. */
  onGone(server: BackendServer): void;
  /** A prompt was sent to a server or saved to a store; other entries are told. */
  onPrompt(placed: PlacedPrompt): void;
  /** Is told of requests whose connection broke, and of those that were answered well. */
  quarantine: Quarantine;
  /** Passes answers on. */
  passer: AnswerPasser;
}

/** Sends requests, each to one server. */
export class Sender {
  readonly #options: SenderOptions;
  readonly #passer: AnswerPasser;
  readonly #waiter: HeadWaiter;

  private constructor(options: SenderOptions) {
    this.#options = options;
    this.#passer = options.passer;
    this.#waiter = HeadWaiter.create(options);
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
    progress.tried.add(server);
    progress.servers.push(server.id);
    progress.sends++;
    progress.expectedMs = choice.expectedMs;
    progress.weights = this.#weightsOf(request, choice);
    const isBound = !isIdempotent(request.route);
    const ticket = server.begin(choice.uncachedTokens, isBound);
    const priority = this.#priorityOf(request, progress);
    const exchange = server.channels.send({
      method: request.facts.method,
      target: request.facts.target,
      headers: this.#headers(request, progress, { choice, priority }),
      body: request.body,
    });
    this.#notePrompt(choice, sentAtMs);
    sink.onGone(() => exchange.abort());
    const send: Send = {
      request,
      sink,
      progress,
      choice,
      exchange,
      ticket,
      sentAtMs,
      priority,
    };
    try {
      const end = await this.#receive(send);
      this.#judge(send, end);
      if (end.kind !== "done") {
        const reason = end.kind === "moved" ? end.kind : end.reason;
        const tookMs = Math.round(clock.nowMs() - sentAtMs);
        progress.ends.push(`${reason}@${tookMs}`);
      }
      const isOver = end.kind === "unknown" || end.kind === "done";
      if (isOver && exchange.sent) {
        progress.runs++;
        progress.ranAt.add(server);
      }
      if (end.kind === "not_run" && choice.chain) {
        server.cache.forget(choice.chain, clock.nowMs());
      }
      return end;
    } finally {
      ticket.ended();
      exchange.abort();
    }
  }

  /** What the end says of the request: did its server end under it, or answer it well? */
  #judge(send: Send, end: SendEnd): void {
    const { quarantine } = this.#options;
    if (end.kind === "unknown" && end.isBroken && send.exchange.sent) {
      return quarantine.broken(send);
    }
    if (end.kind !== "done" || end.outcome.kind !== "answered") return;
    if (end.outcome.status < 500) quarantine.answered(send.request);
  }

  #weightsOf(
    { facts }: RoutedRequest,
    { weightsVersion }: Choice,
  ): ChosenWeights | undefined {
    if (!facts.prompt || weightsVersion === undefined) return undefined;
    const { wanted } = this.#options;
    const { model } = facts.prompt;
    const replacedForMs = wanted.replacedForMs(model, weightsVersion);
    return { version: weightsVersion, replacedForMs };
  }

  /** From now on the server is expected to have the prompt in its cache. */
  #notePrompt(choice: Choice, nowMs: number): void {
    const { server, chain, saveTo, expectedMs } = choice;
    // A copied run brings its memory along, and its parts are not known to be kept as a prompt's.
    if (!chain || choice.copy) return;
    const { onPrompt, cacheOf } = this.#options;
    server.cache.use(chain, nowMs + expectedMs);
    const { id, bornAtMs } = server.entry;
    onPrompt({ id, bornAtMs, chain, readyInMs: expectedMs });
    if (saveTo === undefined) return;
    const savedInMs = expectedMs + SAVE_MS;
    cacheOf(saveTo)?.use(chain, nowMs + savedInMs);
    onPrompt({ id: saveTo, chain, readyInMs: savedInMs });
  }

  #priorityOf(
    { route, workspace, answerByMs, facts }: RoutedRequest,
    { lastEventId }: Progress,
  ): number {
    // A stream that goes on is late after a short pause, so it is admitted first.
    if (lastEventId !== facts.lastEventId) return 0;
    const leftMs = answerByMs - this.#options.clock.nowMs();
    return enginePriority(
      workspace?.priority ?? route.priority,
      hasComeBack(leftMs, route.timeoutMs),
    );
  }

  #headers(
    request: RoutedRequest,
    progress: Progress,
    { choice, priority }: { choice: Choice; priority: number },
  ): string[] {
    const { workspace } = request;
    const leftMs = request.answerByMs - this.#options.clock.nowMs();
    const isResumed = progress.lastEventId !== request.facts.lastEventId;
    return forwardHeaders(request.rawHeaders, {
      // The engine ends what waits too long on replaced weights, also if nobody is left to say so.
      deadlineMs: Math.min(leftMs, choice.weightsLeftMs ?? Infinity),
      serverId: choice.server.id,
      workspace: workspace?.name,
      cacheSalt: choice.chain?.salt,
      weightsVersion: choice.weightsVersion,
      enginePriority: choice.chain ? priority : undefined,
      copyFrom: choice.copyFrom,
      saveTo: choice.saveTo,
      copy: choice.copy,
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
    this.#hearOf(server, facts, nowMs);
    if (facts.requestId && facts.requestId !== request.facts.requestId) {
      // A late answer to an earlier request: this request's own may still follow.
      server.health.failed(nowMs);
      return { kind: "unknown", reason: "foreign_answer" };
    }
    if (facts.notRun) return this.#refusedBy(send, facts);
    send.headAtMs = nowMs;
    this.#learn(send, facts, nowMs);
    progress.ttftMs ??= nowMs - request.arrivedAtMs;
    const isStream = request.route.kind === RequestKind.stream;
    if (isStream && facts.status === 200) {
      return this.#passer.passStream(send, { head: head.head, facts });
    }
    return this.#passer.passWhole(send, { head: head.head, facts });
  }

  async #awaitHead(
    send: Send,
  ): Promise<SendEnd | { kind: "head"; head: AnswerHead }> {
    const awaited = await this.#waiter.wait(send);
    if (send.sink.gone) return done({ kind: "client_gone" });
    switch (awaited.kind) {
      case "late":
        return this.#endWithoutHead(send);
      case "weights_retired":
        // Taken back by closing the connection, before the engine begins it.
        return { kind: "unknown", reason: "weights_retired" };
      case "step":
        return this.#headOf(send, awaited.step);
    }
  }

  #endWithoutHead(send: Send): SendEnd {
    const nowMs = this.#options.clock.nowMs();
    const reason = nowMs >= send.request.answerByMs
      ? LateReason.deadline
      : LateReason.noHead;
    return endLate(send, reason, nowMs);
  }

  #headOf(
    send: Send,
    step: AnswerStep,
  ): SendEnd | { kind: "head"; head: AnswerHead } {
    switch (step.kind) {
      case "head":
        return step;
      case "failed":
        return this.#failed(send, step.failure);
      case "data":
      case "end":
        return { kind: "unknown", reason: "answer_without_head" };
    }
  }

  #failed(send: Send, { kind, message }: ChannelFailure): SendEnd {
    const nowMs = this.#options.clock.nowMs();
    if (kind === "broken") return endBroken(send, message, nowMs);
    const { health, id } = send.choice.server;
    // Idle as it seems, it would get the next requests of every entry. Other failures may be those
    // of this entry's own links, or of one connection too many.
    if (message === REFUSED_CODE && !health.isDown) this.#options.onSilent(id);
    health.unreachable(nowMs);
    return { kind: "not_run", reason: message };
  }

  #refusedBy({ choice, request }: Send, facts: AnswerFacts): SendEnd {
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
