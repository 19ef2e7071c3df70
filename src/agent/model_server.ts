/** Serves model requests with the engine beside the agent. */
import { Result } from "true-myth";
import type { Clock, Logger } from "../base/mod.ts";
import { cacheSalt } from "../placement/chain.ts";
import type {
  Engine,
  EngineCall,
  EngineFailure,
  EngineInfo,
  EngineLoad,
  EngineStep,
  LoadedModel,
} from "../backends/engine.ts";
import {
  type AskRequest,
  type ModelCall,
  type Offer,
  type Refusal,
  RefusalCode,
  RunOutcome,
} from "../wire/gen/cicadahitch.ts";
import { Admission, type Demand, type Ticket } from "./admission.ts";
import { CacheFollower } from "./cache_follower.ts";
import { CacheView } from "./cache_view.ts";
import { CostModel } from "./cost_model.ts";
import {
  refuseDown,
  refuseNotLoaded,
  refuseRejected,
  STATUS_NOT_FOUND,
} from "./engine_refusals.ts";
import { type EngineListener, EngineWatch } from "./engine_watch.ts";
import { PrefillsInFlight } from "./prefills_in_flight.ts";
import { Replicas } from "./replicas.ts";
import { refuse } from "./refusals.ts";
import { describeFailure, type Run, RunState } from "./run.ts";
import { rankOf } from "./wait_queue.ts";

/** What {@link ModelServer} is made from. */
export interface ModelServerOptions {
  engine: Engine;
  clock: Clock;
  log: Logger;
  /** Seed of the spread of retries. */
  seed: string;
  /** Live runs, to fail those of an engine that is gone. */
  liveRuns: () => Iterable<Run>;
  /** False, for measurements: prefixes that are being computed count as missing. */
  countsInFlight?: boolean;
}

/** What serves a request, and how many its team may have here. */
interface Serving {
  teamMaxInFlight: number;
  weightsVersion: string;
}

type End = Extract<EngineStep, { kind: "end" }>;

/** Below this share of what the view promised, the view has drifted. */
const DRIFT_SHARE = 0.5;
const DRIFT_MIN_TOKENS = 256;

/** The engine, its queue and the picture of its cache. */
export class ModelServer implements EngineListener {
  readonly admission: Admission;
  readonly watch: EngineWatch;
  readonly replicas: Replicas;
  readonly cache = CacheView.create();
  readonly costs = CostModel.create();
  readonly follower: CacheFollower;
  readonly prefills: PrefillsInFlight;
  readonly #options: ModelServerOptions;
  #wasDown = false;

  private constructor(options: ModelServerOptions) {
    const { engine, clock, log, seed } = options;
    this.#options = options;
    this.prefills = PrefillsInFlight.create(clock);
    this.admission = Admission.create({ clock, costs: this.costs, seed });
    this.watch = EngineWatch.create({
      engine,
      clock,
      log,
      listener: this,
      isBusy: () =>
        this.admission.runningCount + this.admission.waitingCount > 0,
    });
    this.replicas = Replicas.create({
      clock,
      loaded: () => this.watch.info?.models ?? [],
      liveRuns: options.liveRuns,
    });
    const view = this.cache;
    const onBreak = () => void this.watch.poll();
    this.follower = CacheFollower.create({ engine, view, clock, log, onBreak });
  }

  /**
   * @param options Engine and surroundings.
   * @returns A server whose tasks don't run yet.
   */
  static create(options: ModelServerOptions): ModelServer {
    return new ModelServer(options);
  }

  /**
   * @param ask A request.
   * @param teamMaxInFlight Requests that its team may have here.
   * @returns What it can expect, or why it would be refused.
   */
  offer(ask: AskRequest, teamMaxInFlight: number): Result<Offer, Refusal> {
    this.#learnOwner(ask);
    const model = this.#findModel(ask, { isHeld: false });
    if (model.isErr) return Result.err(model.error);
    const { weightsVersion } = model.value;
    const { demand, matchedTokens } = this.#assess(ask, {
      teamMaxInFlight,
      weightsVersion,
    });
    return this.admission.quote(demand).map((quote) => ({
      holdId: this.#hold(ask, demand, model.value),
      matchedTokens,
      recomputeTokens: demand.uncachedTokens,
      expectedTtftMs: Math.ceil(quote.expectedTtftMs),
      queueMs: Math.ceil(quote.queueMs),
      engineIncarnation: this.watch.incarnation,
      weightsVersion,
      running: this.admission.runningCount,
      waiting: this.admission.waitingCount,
    }));
  }

  /**
   * Lets a run in.
   *
   * @param run A run that waits.
   * @param options Whether a place was kept for it, and its team's limit.
   * @returns Its ticket, or why it is refused.
   */
  enter(
    run: Run,
    options: { isHeld: boolean; teamMaxInFlight: number },
  ): Result<Ticket, Refusal> {
    this.#learnOwner(run.ask);
    const model = this.#findModel(run.ask, options);
    if (model.isErr) return Result.err(model.error);
    const { weightsVersion } = model.value;
    const { teamMaxInFlight } = options;
    const assessed = this.#assess(run.ask, { teamMaxInFlight, weightsVersion });
    run.weightsVersion = weightsVersion;
    run.matchedTokens = assessed.matchedTokens;
    run.engineIncarnation = this.watch.incarnation;
    const entered = this.admission.enter(assessed.demand, options.isHeld);
    const isCounted = this.#options.countsInFlight !== false;
    if (entered.isErr || !isCounted) return entered;
    this.prefills.enter(entered.value, run.ask, { weightsVersion });
    return entered;
  }

  /**
   * Runs a request from its place in the queue to its end.
   *
   * @param run A run that waits.
   * @param call What to pass on.
   * @param ticket Its ticket.
   */
  async serve(run: Run, call: ModelCall, ticket: Ticket): Promise<void> {
    const leaveEarly = () => {
      if (ticket.state !== "waiting") return;
      this.admission.leave(ticket);
      ticket.settle(refuse(RefusalCode.CANCELLED, run.cancelReason));
    };
    run.signal.addEventListener("abort", leaveEarly, { once: true });
    const refusal = await ticket.ready;
    run.signal.removeEventListener("abort", leaveEarly);
    if (refusal) run.refuse(refusal);
    else await this.#pass(run, call, ticket);
    this.admission.leave(ticket);
    this.prefills.leave(ticket);
  }

  onNewIncarnation(info: EngineInfo): void {
    const { log, liveRuns } = this.#options;
    log.info({ engineIncarnation: info.incarnation }, "The engine is up");
    this.cache.voidAll(info.incarnation);
    this.prefills.clear();
    this.costs.reset(info);
    this.admission.resetLoad();
    this.admission.setMaxRunning(info.maxRunning);
    for (const run of liveRuns()) {
      if (run.state !== RunState.Running) continue;
      if (run.engineIncarnation === info.incarnation) continue;
      run.cancel("The engine started anew");
    }
    this.follower.resync();
  }

  onLoad(load: EngineLoad): void {
    if (this.#wasDown) this.follower.resync();
    this.#wasDown = false;
    this.admission.noteLoad(load);
  }

  onDown(): void {
    this.#wasDown = true;
    this.cache.distrust();
    this.admission.refuseWaiting(refuseDown());
  }

  async #pass(run: Run, call: ModelCall, ticket: Ticket): Promise<void> {
    const body = parseBody(call.body);
    if (body === undefined) {
      return run.refuse(refuse(RefusalCode.INVALID, "The body is no object"));
    }
    if (run.signal.aborted) {
      return run.refuse(refuse(RefusalCode.CANCELLED, run.cancelReason));
    }
    run.state = RunState.Running;
    run.engineIncarnation = this.watch.incarnation;
    const { ask } = run;
    const engineCall: EngineCall = {
      requestId: run.runId,
      api: call.api === "text" ? "text" : "chat",
      body,
      priority: rankOf(ask.priority),
      cacheSalt: cacheSalt(ask.team, ask.workspace),
      weightsVersion: run.weightsVersion,
    };
    await this.#copyOutput(run, engineCall, ticket);
  }

  async #copyOutput(run: Run, call: EngineCall, ticket: Ticket): Promise<void> {
    const { output } = run;
    for await (const step of this.#options.engine.run(call, run.signal)) {
      if (run.signal.aborted) break;
      if (step.isErr) return this.#failRun(run, step.error);
      if (step.value.kind === "end") {
        return this.#endRun(run, step.value, ticket);
      }
      if (output.pieceCount === 0) this.#notePrefilled(ticket);
      output.append(step.value.data);
      while (!output.hasRoom && !run.signal.aborted) await output.waitForRoom();
    }
    if (run.signal.aborted) this.#endCancelled(run);
    else await this.#endBroken(run, "The engine's stream has no end");
  }

  #notePrefilled(ticket: Ticket): void {
    this.admission.notePrefilled(ticket);
    this.prefills.notePrefilled(ticket);
  }

  #endRun(run: Run, end: End, ticket: Ticket): void {
    run.end(RunOutcome.DONE, "", {
      promptTokens: end.promptTokens,
      completionTokens: end.completionTokens,
      cachedTokens: end.cachedTokens,
    });
    const nowMs = this.#options.clock.nowMs();
    this.costs.learn({
      uncachedTokens: Math.max(0, end.promptTokens - end.cachedTokens),
      firstPieceMs: ticket.firstPieceMs - ticket.placedMs,
      hadEngineAlone: ticket.hadEngineAlone,
      outputTokens: end.completionTokens,
      totalMs: nowMs - ticket.placedMs,
    });
    const { matchedTokens } = run;
    if (matchedTokens < DRIFT_MIN_TOKENS) return;
    if (end.cachedTokens < matchedTokens * DRIFT_SHARE) this.follower.resync();
  }

  #endCancelled(run: Run): void {
    const isSame = run.engineIncarnation === this.watch.incarnation;
    if (isSame) run.end(RunOutcome.CANCELLED, run.cancelReason);
    else run.endWithEngine(run.cancelReason);
  }

  async #endBroken(run: Run, message: string): Promise<void> {
    const hasEnded = await this.watch.hasEnded(run.engineIncarnation);
    if (hasEnded) run.endWithEngine(message);
    else run.end(RunOutcome.FAILED, message);
  }

  #failRun(run: Run, failure: EngineFailure): Promise<void> | void {
    const message = describeFailure(failure);
    switch (failure.kind) {
      case "unreachable":
        run.refuse(refuseDown());
        return this.watch.noteUnreachable();
      case "rejected":
        if (failure.status === STATUS_NOT_FOUND) void this.watch.readInfo();
        return run.refuse(refuseRejected(failure));
      case "broken":
        return this.#endBroken(run, message);
      case "fenced":
        return run.end(RunOutcome.FAILED, message);
    }
  }

  #findModel(
    ask: AskRequest,
    options: { isHeld: boolean },
  ): Result<LoadedModel, Refusal> {
    if (!this.watch.isUp) return Result.err(refuseDown());
    const found = this.replicas.find(ask, options);
    return found ? Result.ok(found) : Result.err(refuseNotLoaded());
  }

  #assess(ask: AskRequest, serving: Serving) {
    const { teamMaxInFlight, weightsVersion } = serving;
    const isComparable = this.cache.incarnation === this.watch.incarnation;
    const matchedTokens = isComparable
      ? this.cache.matchedTokens(ask, weightsVersion)
      : 0;
    const comingTokens = this.prefills.comingTokens(ask, weightsVersion);
    const foundTokens = Math.max(matchedTokens, comingTokens);
    const nowMs = this.#options.clock.nowMs();
    const demand: Demand = {
      team: ask.team,
      priority: ask.priority,
      uncachedTokens: Math.max(0, ask.promptTokens - foundTokens),
      maxTokens: ask.maxTokens,
      deadlineAtMs: ask.deadlineMs > 0 ? nowMs + ask.deadlineMs : Infinity,
      teamMaxInFlight,
    };
    return { demand, matchedTokens };
  }

  #hold(ask: AskRequest, demand: Demand, model: LoadedModel): string {
    if (ask.holdMs === 0) return "";
    this.replicas.noteHold(model, ask.holdMs);
    return this.admission.holds.open(ask.runId, ask.holdMs, { demand });
  }

  #learnOwner(ask: AskRequest): void {
    if (this.cache.learnOwner(ask.team, ask.workspace)) this.follower.resync();
  }
}

function parseBody(bytes: Uint8Array): Record<string, unknown> | undefined {
  try {
    const parsed: unknown = JSON.parse(new TextDecoder().decode(bytes));
    const isObject = typeof parsed === "object" && parsed !== null &&
      !Array.isArray(parsed);
    return isObject ? parsed as Record<string, unknown> : undefined;
  } catch {
    return undefined;
  }
}
