/** Serves model requests with the agent's engine. */
import { Result } from "true-myth";
import type { Clock, Logger } from "../base/mod.ts";
import { cacheSalt } from "../placement/chain.ts";
import type {
  Engine,
  EngineCall,
  EngineFailure,
  EngineInfo,
  EngineLoad,
  EngineResponsePart,
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
import { effectivePriority } from "./wait_queue.ts";

/** Options of {@link ModelServer}. */
export interface ModelServerOptions {
  engine: Engine;
  clock: Clock;
  log: Logger;
  /** Seed of the retry jitter. */
  seed: string;
  /** Returns the live runs, so that those of an ended engine can be cancelled. */
  liveRuns: () => Iterable<Run>;
  /** False to treat prefixes still being computed as uncached, for measurements only. */
  countsPrefillsInFlight?: boolean;
}

/** The weights version that serves a request, and the limit of its team on this server. */
interface ServingContext {
  teamMaxInFlight: number;
  weightsVersion: string;
}

type EndStep = Extract<EngineResponsePart, { kind: "end" }>;

/** The view is resynced if fewer of at least {@link MIN_CHECKED_TOKENS} matched were cached. */
const MIN_HIT_RATE = 0.5;
const MIN_CHECKED_TOKENS = 256;

/** Combines the engine with its request queue, cost model and cache view. */
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
    const onEnd = () => void this.watch.poll();
    this.follower = CacheFollower.create({ engine, view, clock, log, onEnd });
  }

  /**
   * @param options The engine and other dependencies.
   * @returns A server whose background tasks are not running yet.
   */
  static create(options: ModelServerOptions): ModelServer {
    return new ModelServer(options);
  }

  /**
   * @param ask A request.
   * @param teamMaxInFlight Maximum requests in flight of the request's team on this server.
   * @returns The expected times and cached tokens, or why the request would be refused.
   */
  offer(ask: AskRequest, teamMaxInFlight: number): Result<Offer, Refusal> {
    this.#registerOwner(ask);
    const model = this.#findModel(ask, { isHeld: false });
    if (model.isErr) return Result.err(model.error);
    const { weightsVersion } = model.value;
    const { demand, matchedTokens } = this.#estimate(ask, {
      teamMaxInFlight,
      weightsVersion,
    });
    return this.admission.estimate(demand).map((quote) => ({
      holdId: this.#openHold(ask, demand, model.value),
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
   * Admits a run to the queue.
   *
   * @param run A waiting run.
   * @param options Whether the run has a valid hold, and the limit of its team.
   * @returns The run's ticket, or why it is refused.
   */
  admit(
    run: Run,
    options: { isHeld: boolean; teamMaxInFlight: number },
  ): Result<Ticket, Refusal> {
    this.#registerOwner(run.ask);
    const model = this.#findModel(run.ask, options);
    if (model.isErr) return Result.err(model.error);
    const { weightsVersion } = model.value;
    const { teamMaxInFlight } = options;
    const result = this.#estimate(run.ask, { teamMaxInFlight, weightsVersion });
    run.weightsVersion = weightsVersion;
    run.matchedTokens = result.matchedTokens;
    run.engineIncarnation = this.watch.incarnation;
    const entered = this.admission.enqueue(result.demand, options.isHeld);
    const isCounted = this.#options.countsPrefillsInFlight !== false;
    if (entered.isErr || !isCounted) return entered;
    this.prefills.add(entered.value, run.ask, { weightsVersion });
    return entered;
  }

  /**
   * Waits until a run is placed, then executes it on the engine.
   *
   * @param run A waiting run.
   * @param call The call to forward.
   * @param ticket The run's ticket.
   */
  async serve(run: Run, call: ModelCall, ticket: Ticket): Promise<void> {
    const leaveQueue = () => {
      if (ticket.state !== "waiting") return;
      this.admission.remove(ticket);
      ticket.settle(refuse(RefusalCode.CANCELLED, run.cancelReason));
    };
    run.signal.addEventListener("abort", leaveQueue, { once: true });
    const refusal = await ticket.ready;
    run.signal.removeEventListener("abort", leaveQueue);
    if (refusal) run.refuse(refusal);
    else await this.#forward(run, call, ticket);
    this.admission.remove(ticket);
    this.prefills.remove(ticket);
  }

  onNewIncarnation(info: EngineInfo): void {
    const { log, liveRuns } = this.#options;
    log.info({ engineIncarnation: info.incarnation }, "Engine is up");
    this.cache.reset(info.incarnation);
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
    this.admission.updateLoad(load);
  }

  onDown(): void {
    this.#wasDown = true;
    this.cache.invalidate();
    this.admission.refuseQueued(refuseDown());
  }

  async #forward(run: Run, call: ModelCall, ticket: Ticket): Promise<void> {
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
      priority: effectivePriority(ask.priority),
      cacheSalt: cacheSalt(ask.team, ask.workspace),
      weightsVersion: run.weightsVersion,
    };
    await this.#copyOutput(run, engineCall, ticket);
  }

  async #copyOutput(run: Run, call: EngineCall, ticket: Ticket): Promise<void> {
    const { output } = run;
    for await (const part of this.#options.engine.run(call, run.signal)) {
      if (run.signal.aborted) break;
      if (part.isErr) return this.#failRun(run, part.error);
      if (part.value.kind === "end") {
        return this.#endRun(run, part.value, ticket);
      }
      if (output.pieceCount === 0) this.#markPrefilled(ticket);
      output.append(part.value.data);
      while (!output.hasRoom && !run.signal.aborted) await output.waitForRoom();
    }
    if (run.signal.aborted) this.#endCancelled(run);
    else await this.#endAfterDisconnect(run, "The engine's stream has no end");
  }

  #markPrefilled(ticket: Ticket): void {
    this.admission.notePrefilled(ticket);
    this.prefills.notePrefilled(ticket);
  }

  #endRun(run: Run, end: EndStep, ticket: Ticket): void {
    run.end(RunOutcome.DONE, "", {
      promptTokens: end.promptTokens,
      completionTokens: end.completionTokens,
      cachedTokens: end.cachedTokens,
    });
    const nowMs = this.#options.clock.nowMs();
    this.costs.update({
      uncachedTokens: Math.max(0, end.promptTokens - end.cachedTokens),
      firstPieceMs: ticket.firstPieceMs - ticket.placedMs,
      prefilledAlone: ticket.prefilledAlone,
      outputTokens: end.completionTokens,
      totalMs: nowMs - ticket.placedMs,
    });
    const { matchedTokens } = run;
    if (matchedTokens < MIN_CHECKED_TOKENS) return;
    if (end.cachedTokens < matchedTokens * MIN_HIT_RATE) this.follower.resync();
  }

  #endCancelled(run: Run): void {
    const isSameEngine = run.engineIncarnation === this.watch.incarnation;
    if (isSameEngine) run.end(RunOutcome.CANCELLED, run.cancelReason);
    else run.failOnEngineEnd(run.cancelReason);
  }

  async #endAfterDisconnect(run: Run, message: string): Promise<void> {
    const hasEnded = await this.watch.hasEnded(run.engineIncarnation);
    if (hasEnded) run.failOnEngineEnd(message);
    else run.end(RunOutcome.FAILED, message);
  }

  #failRun(run: Run, failure: EngineFailure): Promise<void> | void {
    const message = describeFailure(failure);
    switch (failure.kind) {
      case "unreachable":
        run.refuse(refuseDown());
        return this.watch.markUnreachable();
      case "rejected":
        if (failure.status === STATUS_NOT_FOUND) void this.watch.readInfo();
        return run.refuse(refuseRejected(failure));
      case "broken":
        return this.#endAfterDisconnect(run, message);
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

  #estimate(ask: AskRequest, serving: ServingContext) {
    const { teamMaxInFlight, weightsVersion } = serving;
    const isViewCurrent = this.cache.incarnation === this.watch.incarnation;
    const matchedTokens = isViewCurrent
      ? this.cache.matchedTokens(ask, weightsVersion)
      : 0;
    const inFlightTokens = this.prefills.inFlightTokens(ask, weightsVersion);
    const reusableTokens = Math.max(matchedTokens, inFlightTokens);
    const nowMs = this.#options.clock.nowMs();
    const demand: Demand = {
      team: ask.team,
      priority: ask.priority,
      uncachedTokens: Math.max(0, ask.promptTokens - reusableTokens),
      maxTokens: ask.maxTokens,
      deadlineAtMs: ask.deadlineMs > 0 ? nowMs + ask.deadlineMs : Infinity,
      teamMaxInFlight,
    };
    return { demand, matchedTokens };
  }

  #openHold(ask: AskRequest, demand: Demand, model: LoadedModel): string {
    if (ask.holdMs === 0) return "";
    this.replicas.extendHold(model, ask.holdMs);
    return this.admission.holds.open(ask.runId, ask.holdMs, { demand });
  }

  #registerOwner(ask: AskRequest): void {
    if (this.cache.addOwner(ask.team, ask.workspace)) this.follower.resync();
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
