/** Sends a request to backend servers until one has answered it, and passes the answer on. */
import { echoHeaders, retryHeaders } from "../platform/mod.ts";
import { comeBackMs, isWorthSending } from "./admission.ts";
import { type Progress, ResendRefusal, type Send } from "./attempt.ts";
import {
  type Choice,
  type ChoiceName,
  choose,
  type PromptPlacement,
} from "./choose.ts";
import type { Workspace } from "./model.ts";
import type { AnswerSink, Outcome, RoutedRequest, Served } from "./request.ts";
import { AnswerPasser } from "./pass_answer.ts";
import type { PromptStore } from "./prompt_store.ts";
import type { Quotas } from "./quotas.ts";
import { RESEND_MIN_LEFT_MS, Resends, type ResendsOptions } from "./resends.ts";
import { RunMover } from "./run_mover.ts";
import { Sender, type SenderOptions } from "./send.ts";
import type { Server } from "./server.ts";

/** Refused clients are told to come back within this span, spread by chance. */
const RETRY_AFTER_MIN_MS = 200;
const RETRY_AFTER_MAX_MS = 700;
/** Clients heed a pause of at most this share of the time that they have left. */
const RETRY_AFTER_SHARE = 0.3;

/** Reason of refusals for want of time. */
const TOO_LATE = "too_late";
/** Reason of refusals where all servers want a pause. */
const PAUSED = "paused";
/** Reason of refusals of requests under which servers have ended. */
const QUARANTINED = "quarantined";

/** Reason of refusals of what lies beyond a workspace's limit. */
const OVER_QUOTA = "over_quota";

/** What a {@link Dispatcher} works with. */
export interface DispatcherOptions
  extends
    Omit<SenderOptions, "passer" | "mayLeave">,
    Omit<ResendsOptions, "hasOther" | "hasNext"> {
  zone: string;
  random: () => number;
  choice: ChoiceName;
  /** Limits of workspaces. */
  quotas: Pick<Quotas, "admit" | "runsAgain" | "giveBack">;
  /** Where prompts are kept beside the engines' own caches. */
  promptStores(): PromptStore[];
  /** How old what other entries told of their load may be. */
  loadAgeMs(): number;
}

/** Sends requests and passes answers on. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #sender: Sender;
  readonly #resends: Resends;
  readonly #mover: RunMover;

  private constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#resends = Resends.create({
      ...options,
      hasOther: (request, progress) => this.#hasOther(request, progress),
      hasNext: (send) => this.#hasNext(send),
    });
    this.#mover = RunMover.create({
      ...options,
      reserve: (request, progress) =>
        this.#resends.reserveMove(request, progress),
    });
    const mayLeave = (send: Send) => this.#resends.reserveNext(send);
    const passer = AnswerPasser.create({
      ...options,
      mover: this.#mover,
      mayLeave,
      mayReplace: (request, progress) =>
        this.#resends.mayReplace(request, progress),
    });
    this.#sender = Sender.create({ ...options, passer, mayLeave });
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
    const progress: Progress = {
      tried: new Set(),
      ranAt: new Set(),
      servers: [],
      ends: [],
      runs: 0,
      sends: 0,
      reservedSends: 0,
      begun: false,
      lastEventId: request.facts.lastEventId,
    };
    const outcome = await this.#serveWithinQuota(request, sink, { progress });
    this.#resends.refund(request, progress);
    const { servers, ends, notResent, ttftMs, expectedMs } = progress;
    const { weights, endedServers } = progress;
    return {
      outcome,
      servers,
      ends,
      notResent,
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
    const outcome = await this.#serve(request, sink, { progress });
    if (progress.runs === 0) quotas.giveBack(request);
    return outcome;
  }

  async #serve(
    request: RoutedRequest,
    sink: AnswerSink,
    { progress }: { progress: Progress },
  ): Promise<Outcome> {
    let reason = "no_server";
    let movedTo: Choice | undefined;
    while (!sink.gone) {
      if (this.#isQuarantined(request, progress)) {
        reason = QUARANTINED;
        break;
      }
      const choice = movedTo ?? this.#choose(request, progress);
      if (!choice) {
        if (progress.sends > 0) progress.notResent = ResendRefusal.noServer;
        if (this.#pausedMs(request) !== undefined) reason = PAUSED;
        break;
      }
      if (movedTo || progress.runs > 0) this.#options.quotas.runsAgain(request);
      movedTo = undefined;
      if (progress.sends === 0 && !this.#isWorthSending(request, choice)) {
        reason = TOO_LATE;
        break;
      }
      const end = await this.#sender.send(request, sink, {
        progress,
        choice,
      });
      if (end.kind === "done") return end.outcome;
      if (end.kind === "moved") {
        movedTo = end.choice;
        progress.reservedSends--;
        continue;
      }
      if (end.kind === "not_run" && choice.copy) {
        this.#mover.free(choice.copy);
        // Its run has stopped where it was, and begins anew.
        progress.runs++;
      }
      reason = end.reason;
      progress.notResent = this.#resends.refusalAfter(request, progress, end);
      if (progress.notResent) break;
    }
    this.#mover.free(movedTo?.copy);
    if (sink.gone) return { kind: "client_gone" };
    return this.#giveUp(request, sink, { progress, reason });
  }

  #pausedMs({ service }: RoutedRequest): number | undefined {
    return this.#options.fleet.pausedMs(service);
  }

  /** Looked at before each send: servers may have ended under this very attempt. */
  #isQuarantined(request: RoutedRequest, progress: Progress): boolean {
    const verdict = this.#options.quarantine.verdict(request);
    switch (verdict.kind) {
      case "clear":
        return false;
      case "suspected":
        progress.endedServers = verdict.endCount;
        return false;
      case "quarantined":
        progress.endedServers = verdict.endCount;
        progress.quarantinedForMs = verdict.leftMs;
        return true;
    }
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
    const found = this.#chooseBut(request, progress.tried);
    if (found || progress.sends === 0) return found;
    // With every server tried, one that refused before may take it by now.
    return this.#chooseBut(request, progress.ranAt);
  }

  #hasNext({ request, progress, choice }: Send): boolean {
    const left = new Set([...progress.ranAt, choice.server]);
    const next = this.#chooseBut(request, progress.tried) ??
      this.#chooseBut(request, left);
    const nowMs = this.#options.clock.nowMs();
    return next !== undefined && !next.server.health.isDown &&
      !next.server.isHeldBack(nowMs);
  }

  #chooseBut(
    request: RoutedRequest,
    tried: ReadonlySet<Server>,
  ): Choice | undefined {
    const { fleet, clock, zone, random, choice } = this.#options;
    return choose({
      servers: fleet.taking(request.service),
      zone,
      nowMs: clock.nowMs(),
      tried,
      prompt: this.#promptOf(request),
      loadAgeMs: this.#options.loadAgeMs(),
      random,
      choice,
    });
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
      weightsLimits: this.#options.wanted.limits,
      stores: this.#options.promptStores(),
      chainFor: (version) => ({
        salt: saltOf(version, request.workspace),
        parts: prompt.parts,
      }),
    };
  }

  #hasOther({ service }: RoutedRequest, { tried }: Progress): boolean {
    return this.#options.fleet.taking(service).some((server) =>
      !tried.has(server)
    );
  }

  #giveUp(
    request: RoutedRequest,
    sink: AnswerSink,
    { progress, reason }: { progress: Progress; reason: string },
  ): Outcome {
    if (reason === QUARANTINED) this.#options.quarantine.refused(request);
    if (progress.begun) {
      sink.breakOff();
      return { kind: "broken_off", reason };
    }
    const echo = echoHeaders(request.facts.requestId);
    const leftMs = request.answerByMs - this.#options.clock.nowMs();
    if (progress.runs === 0) {
      const { random } = this.#options;
      const pauseMs = progress.quarantinedForMs ??
        this.#pausedMs(request) ??
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

/** Weights and walls part caches: nothing of another version, or of an isolated workspace. */
function saltOf(version: number, workspace: Workspace | undefined): string {
  return workspace?.isolated ? `w${version}.${workspace.name}` : `w${version}`;
}
