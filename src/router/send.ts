/** Sends a request to a chosen backend server. */
import type { Clock, Metrics } from "../base/mod.ts";
import { forwardHeaders } from "../platform/mod.ts";
import { isIdempotent, needsProvenRefusal } from "./answer_rules.ts";
import type { Payment, Progress, Send } from "./attempt.ts";
import type { ExpectedCache } from "./expected_cache.ts";
import type { Choice } from "./choose.ts";
import type {
  AnswerSink,
  ChosenWeights,
  PlacedPrompt,
  RoutedRequest,
} from "./request.ts";
import type { Server } from "./server.ts";
import type { WakeSignal } from "./wake_signal.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Time from the end of a prompt's prefill until the cache store holds the prompt. */
const SAVE_MS = 60;

/** Why a request is sent. */
const SendKind = {
  first: "first",
  /** An earlier send brought no answer yet. */
  resend: "resend",
  /** Continues a stream of which the client has events. */
  resumed: "resumed",
  /** Continues a run with its memory. */
  moved: "moved",
  /** Continues a lost run from its backup. */
  restored: "restored",
} as const;

/** Dependencies of a {@link Sender}. */
export interface SenderOptions {
  clock: Clock;
  metrics: Metrics;
  wanted: WantedVersions;
  /** Expected cache contents of a server, by id, or of a cache store, by address. */
  cacheOf(id: string): ExpectedCache | undefined;
  /** Called when a prompt is sent to a server or saved to a store, to notify other entries. */
  onPrompt(placed: PlacedPrompt): void;
}

/** Parameters of one send. */
export interface SendTask {
  sink: AnswerSink;
  /** State of the request across its sends. */
  progress: Progress;
  choice: Choice;
  payment: Payment;
  /** Another run of the request has started, or may have. */
  isRepeat: boolean;
  /** Woken whenever a part of the answer is received. */
  wake: WakeSignal;
  /** The engine to which the run's memory is copied while it runs. */
  backup?: Server;
}

/** Sends requests, each to one server. */
export class Sender {
  readonly #options: SenderOptions;

  private constructor(options: SenderOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock, wanted weights and caches.
   * @returns A sender.
   */
  static create(options: SenderOptions): Sender {
    return new Sender(options);
  }

  /**
   * Sends a request to the chosen server and updates its progress.
   *
   * @param request The request.
   * @param task The chosen server and the state of the request.
   * @returns The open send; the caller reads its answer or closes it.
   */
  send(
    request: RoutedRequest,
    { sink, progress, choice, payment, isRepeat, wake, backup }: SendTask,
  ): Send {
    const { server } = choice;
    const sentAtMs = this.#options.clock.nowMs();
    this.#countSend(request, progress, choice);
    progress.tried.add(server);
    progress.servers.push(server.id);
    progress.sends++;
    progress.possibleDeliveries++;
    progress.expectedMs = choice.expectedMs;
    progress.weights = this.#weightsOf(request, choice);
    progress.copyFrom = choice.copyFrom;
    const isBound = !isIdempotent(request.route);
    const ticket = server.startRequest(choice.uncachedTokens, isBound);
    const priority = this.#priorityOf(request, progress);
    const mayHaveRun = isRepeat || progress.unprovenRefusals > 0;
    const isFirst = needsProvenRefusal(request.route, { mayHaveRun });
    const exchange = server.channels.send({
      method: request.facts.method,
      target: request.facts.target,
      headers: this.#headers(request, progress, { choice, priority, backup }),
      body: request.body,
    }, { wake, isFirst });
    this.#notePrompt(choice, sentAtMs);
    return {
      request,
      sink,
      progress,
      choice,
      exchange,
      ticket,
      sentAtMs,
      priority,
      payment,
      isRepeat,
      idleSinceMs: sentAtMs,
      isSuspected: false,
      backup,
    };
  }

  /** Counts sends to servers that take a limited rate of requests. */
  #countSend(
    { facts }: RoutedRequest,
    { sends, lastEventId }: Progress,
    { server, copy }: Choice,
  ): void {
    if (server.announcements.rate.perSecond === undefined) return;
    const isResumed = lastEventId !== facts.lastEventId;
    const kind = copy?.lostRun
      ? SendKind.restored
      : copy
      ? SendKind.moved
      : isResumed
      ? SendKind.resumed
      : sends > 0
      ? SendKind.resend
      : SendKind.first;
    this.#options.metrics.counter("rate_limited_server_sends_total", {
      help: "Requests sent to servers that named a rate, by kind of send",
      labels: { kind },
    }).add();
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

  /** Records that the server, and the store if the prompt is saved, will have the prompt cached. */
  #notePrompt(choice: Choice, nowMs: number): void {
    const { server, chain, saveTo, expectedMs } = choice;
    // A moved run brings its KV cache with it; whether the server caches it as a prompt is unknown.
    if (!chain || choice.copy) return;
    const { onPrompt, cacheOf } = this.#options;
    server.cache.recordPrompt(chain, nowMs + expectedMs);
    const { id, bornAtMs } = server.entry;
    onPrompt({ id, bornAtMs, chain, readyInMs: expectedMs });
    if (saveTo === undefined) return;
    const savedInMs = expectedMs + SAVE_MS;
    cacheOf(saveTo)?.recordPrompt(chain, nowMs + savedInMs);
    onPrompt({ id: saveTo, chain, readyInMs: savedInMs });
  }

  #priorityOf(
    { rank, facts }: RoutedRequest,
    { lastEventId }: Progress,
  ): number {
    // Clients give up a stream that pauses, and with it the part of the answer that they have.
    if (lastEventId !== facts.lastEventId) return 0;
    return rank;
  }

  #headers(
    request: RoutedRequest,
    progress: Progress,
    { choice, priority, backup }: {
      choice: Choice;
      priority: number;
      backup?: Server;
    },
  ): string[] {
    const { workspace } = request;
    const leftMs = request.answerByMs - this.#options.clock.nowMs();
    const isResumed = progress.lastEventId !== request.facts.lastEventId;
    return forwardHeaders(request.rawHeaders, {
      // The engine itself ends requests that wait too long for replaced weights, even if this
      // process has died and can't cancel them.
      deadlineMs: Math.min(leftMs, choice.weightsLeftMs ?? Infinity),
      serverId: choice.server.id,
      workspace: workspace?.name,
      cacheSalt: choice.chain?.salt,
      weightsVersion: choice.weightsVersion,
      enginePriority: choice.chain ? priority : undefined,
      copyFrom: choice.copyFrom,
      saveTo: choice.saveTo,
      backupTo: backup?.entry.address,
      copy: choice.copy,
      lastEventId: isResumed ? progress.lastEventId : undefined,
    });
  }
}
