/** Serves requests: within their workspace's limit, and with a final answer for each. */
import { echoHeaders, retryHeaders } from "../platform/mod.ts";
import { comeBackMs, isWorthSending } from "./admission.ts";
import {
  type AnswerEnd,
  Answering,
  type AnsweringParts,
  QUARANTINED,
  TOO_LATE,
} from "./answering.ts";
import { type Progress, startProgress } from "./attempt.ts";
import type { Choice } from "./choose.ts";
import { NextServer, type NextServerOptions } from "./next_server.ts";
import type { Quotas } from "./quotas.ts";
import { AnswerReader, type AnswerReaderOptions } from "./read_answer.ts";
import {
  type AnswerSink,
  type Outcome,
  ResendRefusal,
  type RoutedRequest,
  type Served,
} from "./request.ts";
import { RESEND_MIN_LEFT_MS, Resends, type ResendsOptions } from "./resends.ts";
import { RunMover } from "./run_mover.ts";
import { Sender, type SenderOptions } from "./send.ts";

/** Refused clients are told to come back within this span, spread by chance. */
const RETRY_AFTER_MIN_MS = 200;
const RETRY_AFTER_MAX_MS = 700;
/** Clients heed a pause of at most this share of the time that they have left. */
const RETRY_AFTER_SHARE = 0.3;

/** Reason of refusals where all servers want a pause. */
const PAUSED = "paused";
/** Reason of refusals of what lies beyond a workspace's limit. */
const OVER_QUOTA = "over_quota";

/** What a {@link Dispatcher} works with. */
export interface DispatcherOptions
  extends
    NextServerOptions,
    SenderOptions,
    AnswerReaderOptions,
    Omit<ResendsOptions, "hasOther" | "fleet">,
    Pick<AnsweringParts, "log" | "quarantine"> {
  /** Limits of workspaces. */
  quotas: Pick<Quotas, "admit" | "runsAgain" | "giveBack">;
}

/** Sends requests and passes answers on. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #servers: NextServer;
  readonly #resends: Resends;
  readonly #mover: RunMover;
  readonly #parts: AnsweringParts;

  private constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#servers = NextServer.create(options);
    this.#resends = Resends.create({
      ...options,
      hasOther: (request, progress) => this.#hasOther(request, progress),
    });
    this.#mover = RunMover.create({
      ...options,
      reserve: (request, progress) =>
        this.#resends.reserveMove(request, progress),
    });
    this.#parts = {
      ...options,
      sender: Sender.create(options),
      reader: AnswerReader.create(options),
      servers: this.#servers,
      resends: this.#resends,
      mover: this.#mover,
      isWorthSending: (request, choice) =>
        this.#isWorthSending(request, choice),
    };
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
    this.#resends.earn(request.service);
    const progress = startProgress(request.facts.lastEventId);
    const outcome = await this.#serveWithinQuota(request, sink, { progress });
    this.#resends.refund(request, progress);
    const { servers, ends, givenUp, ttftMs, expectedMs } = progress;
    const { weights, endedServers } = progress;
    return {
      outcome,
      servers,
      ends,
      givenUp,
      ttftMs,
      expectedMs,
      weights,
      endedServers,
    };
  }

  async #serveWithinQuota(
    request: RoutedRequest,
    sink: AnswerSink,
    { progress }: { progress: Progress },
  ): Promise<Outcome> {
    const { quotas } = this.#options;
    const verdict = quotas.admit(request);
    if (verdict.kind === "refused") {
      const echo = echoHeaders(request.facts.requestId);
      const headers = [...echo, ...retryHeaders(verdict.retryAfterMs)];
      sink.send(429, headers, Buffer.alloc(0));
      return { kind: "refused", reason: OVER_QUOTA };
    }
    const task = { request, sink, progress };
    const end = await Answering.create(this.#parts, task).run();
    if (progress.runs === 0) quotas.giveBack(request);
    return end.kind === "given_up"
      ? this.#giveUp(request, sink, { progress, end })
      : end;
  }

  #pausedMs({ service }: RoutedRequest): number | undefined {
    return this.#options.fleet.pausedMs(service);
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

  #hasOther({ service }: RoutedRequest, { tried }: Progress): boolean {
    return this.#options.fleet.taking(service).some((server) =>
      !tried.has(server)
    );
  }

  #giveUp(
    request: RoutedRequest,
    sink: AnswerSink,
    { progress, end }: {
      progress: Progress;
      end: Extract<AnswerEnd, { kind: "given_up" }>;
    },
  ): Outcome {
    const { refusal } = end;
    const pausedMs = this.#pausedMs(request);
    const isPaused = refusal === ResendRefusal.noServer &&
      pausedMs !== undefined;
    const reason = isPaused ? PAUSED : end.reason;
    if (reason === QUARANTINED) this.#options.quarantine.refused(request);
    const leftMs = request.answerByMs - this.#options.clock.nowMs();
    if (progress.sends > 0) {
      progress.givenUp = {
        refusal,
        leftMs,
        resendsLeft: this.#resends.left(request.service),
        passedOver: this.#servers.passedOver(request, progress),
      };
    }
    if (progress.begun) {
      sink.breakOff();
      return { kind: "broken_off", reason };
    }
    const echo = echoHeaders(request.facts.requestId);
    if (progress.runs === 0) {
      const { random } = this.#options;
      const pauseMs = progress.quarantinedForMs ?? pausedMs ??
        (reason === TOO_LATE
          ? comeBackMs(leftMs, random)
          : retryAfterMs(leftMs, random));
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
