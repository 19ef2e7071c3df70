/** Sends a request to a chosen backend server. */
import type { Clock } from "../base/mod.ts";
import { forwardHeaders } from "../platform/mod.ts";
import { enginePriority, hasComeBack } from "./admission.ts";
import { isIdempotent } from "./answer_rules.ts";
import type { Payment, Progress, Send } from "./attempt.ts";
import type { CacheBook } from "./cache_book.ts";
import type { Choice } from "./choose.ts";
import type {
  AnswerSink,
  ChosenWeights,
  PlacedPrompt,
  RoutedRequest,
} from "./request.ts";
import type { Wake } from "./wake.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Time from a prompt's last token read until the store has it. */
const SAVE_MS = 60;

/** What a {@link Sender} works with. */
export interface SenderOptions {
  clock: Clock;
  wanted: WantedVersions;
  /** Expected cache of a server, by id, or of a store, by address. */
  cacheOf(id: string): CacheBook | undefined;
  /** A prompt was sent to a server or saved to a store; other entries are told. */
  onPrompt(placed: PlacedPrompt): void;
}

/** A request that is sent, and how. */
export interface SendTask {
  sink: AnswerSink;
  /** What happened to it before. */
  progress: Progress;
  choice: Choice;
  payment: Payment;
  /** Another run of the request has begun, or may have. */
  isRepeat: boolean;
  /** Told of each step of the answer. */
  wake: Wake;
}

/** Sends requests, each to one server. */
export class Sender {
  readonly #options: SenderOptions;

  private constructor(options: SenderOptions) {
    this.#options = options;
  }

  /**
   * @param options Clock, weights and caches.
   * @returns A sender.
   */
  static create(options: SenderOptions): Sender {
    return new Sender(options);
  }

  /**
   * @param request The request.
   * @param task Where it is sent, and what happened to it before.
   * @returns The send, whose answer is to be read or closed.
   */
  send(
    request: RoutedRequest,
    { sink, progress, choice, payment, isRepeat, wake }: SendTask,
  ): Send {
    const { server } = choice;
    const sentAtMs = this.#options.clock.nowMs();
    progress.tried.add(server);
    progress.servers.push(server.id);
    progress.sends++;
    progress.arrivals++;
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
    }, wake);
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
      quietSinceMs: sentAtMs,
      isSuspected: false,
    };
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
}
