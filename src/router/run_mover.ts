/**
 * Moves long runs, with the memory of their prompt and output tokens, off an engine whose weights are
 * about to change. The change waits for open runs, and the engine takes no new requests meanwhile.
 */
import type { Clock, Logger } from "../base/mod.ts";
import {
  type CallFailure,
  dropCopy,
  type MoveAnswer,
  moveRun,
} from "../platform/mod.ts";
import { isIdempotent } from "./answer_rules.ts";
import type { Progress, RunMove, Send } from "./attempt.ts";
import type { Choice } from "./choose.ts";
import type { Fleet } from "./fleet.ts";
import type { Quarantine } from "./quarantine.ts";
import type { RunCopy } from "./model.ts";
import type { Permits } from "./permits.ts";
import type { RoutedRequest } from "./request.ts";
import { moveCaller } from "./permit_caller.ts";
import type { Server } from "./server.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Call timeout: a large prompt takes 60 ms, twice that across zones, and copies are queued. */
const MOVE_TIMEOUT_MS = 600;
/** A run with less time left until its deadline is not moved. */
const MIN_LEFT_MS = 400;
/** Number of unread prompt tokens that delay a run as much as one more running request. */
const PENDING_TOKENS_PER_RUN = 400;
/** How long an engine that could not take a run gets no new requests. */
const REFUSED_HOLD_MS = 250;
/** Load penalty, in running requests, of an engine in another availability zone. */
const OTHER_ZONE_PENALTY_RUNS = 2;
/** Requests that may generate more tokens than this run for a second or longer. */
const LONG_OUTPUT_TOKENS = 32;

/** Dependencies of a {@link RunMover}. */
export interface RunMoverOptions {
  clock: Clock;
  log: Logger;
  fleet: Fleet;
  wanted: WantedVersions;
  zone: string;
  random: () => number;
  /** Runs of requests under which servers have terminated are not moved. */
  quarantine: Pick<Quarantine, "verdict">;
  /** A moved run counts towards the rate that its target takes. */
  permits: Pick<Permits, "acquire" | "giveBack">;
  /** Reserves the resends that a move may need; false if the request may not be sent that often. */
  reserve(request: RoutedRequest, progress: Progress): boolean;
}

/** Engine to which a run is moved. */
interface MoveTarget {
  server: Server;
  /** A permit was obtained, as the engine takes a limited rate. */
  hasPermit: boolean;
}

/** Moves runs between engines. */
export class RunMover {
  readonly #options: RunMoverOptions;

  private constructor(options: RunMoverOptions) {
    this.#options = options;
  }

  /**
   * @param options Dependencies.
   * @returns A mover.
   */
  static create(options: RunMoverOptions): RunMover {
    return new RunMover(options);
  }

  /**
   * @param send Send whose stream has started.
   * @returns Whether its run should be moved now.
   */
  isDue({ choice, request, progress, move, answer }: Send): boolean {
    const nowMs = this.#options.clock.nowMs();
    const { facts, answerByMs } = request;
    return move === undefined && answer !== undefined &&
      progress.streamStarted && progress.lastEventId !== undefined &&
      // If the copy can't be used after all, the run is repeated from the last event on.
      isIdempotent(request.route) &&
      choice.server.isChangingWeights(nowMs) &&
      (facts.prompt?.outputTokens ?? 0) > LONG_OUTPUT_TOKENS &&
      answerByMs - nowMs > MIN_LEFT_MS &&
      this.#options.quarantine.verdict(request).kind === "clear";
  }

  /**
   * Copies a run's memory to another engine and stops the run.
   *
   * @param send Send for which {@link RunMover.isDue} holds.
   * @returns The result of the move.
   */
  async move(send: Send): Promise<RunMove> {
    const { clock, log } = this.#options;
    const { request, choice } = send;
    const reserved = await this.#reserveTarget(send);
    if (!reserved) return { kind: "not_moved" };
    const { server: target } = reserved;
    const startMs = clock.nowMs();
    const answer = await moveRun(choice.server.entry, {
      requestId: request.facts.requestId,
      targetAddress: target.entry.address,
    }, { callMs: MOVE_TIMEOUT_MS });
    log.info({
      event: "run_moved",
      id: request.facts.requestId,
      from: choice.server.id,
      to: target.id,
      answer: answer.isOk ? answer.value.kind : answer.error.kind,
      tookMs: Math.round(clock.nowMs() - startMs),
    });
    const move = answer.isOk
      ? this.#applyReply(send, reserved, answer.value)
      : moveAfterFailure(answer.error);
    if (move.kind !== "copied") this.#giveBack(reserved);
    return move;
  }

  /**
   * Frees a copy that no run continues from, because it takes memory from other runs.
   *
   * @param copy Copy of a run's memory, if there is one.
   */
  free(copy: RunCopy | undefined): void {
    if (!copy) return;
    // If the call fails, the engine frees the copy after its own timeout.
    void dropCopy(copy.source, copy.copyId, { callMs: MOVE_TIMEOUT_MS });
  }

  /** Finds a target, and reserves the resends and the permit that the move needs. */
  async #reserveTarget(send: Send): Promise<MoveTarget | undefined> {
    const { permits, reserve, fleet } = this.#options;
    const server = this.#findTarget(send);
    if (!server) return undefined;
    const hasPermit = server.announcements.rate.perSecond !== undefined;
    if (hasPermit && !await permits.acquire(server, moveCaller(send.request))) {
      return undefined;
    }
    const { request, progress } = send;
    const target = { server, hasPermit };
    if (fleet.has(server) && reserve(request, progress)) return target;
    this.#giveBack(target);
    return undefined;
  }

  #giveBack({ server, hasPermit }: MoveTarget): void {
    if (hasPermit) this.#options.permits.giveBack(server);
  }

  #applyReply(
    { choice }: Send,
    { server: target, hasPermit }: MoveTarget,
    reply: MoveAnswer,
  ): RunMove {
    switch (reply.kind) {
      case "copied":
        if (
          !this.#options.fleet.has(target) ||
          target.isLeaving(this.#options.clock.nowMs())
        ) {
          // The target has restarted or left, so that the copy is lost, or it is about to leave.
          this.free({ source: choice.server.entry, copyId: reply.copyId });
          return { kind: "stopped" };
        }
        return {
          kind: "copied",
          choice: {
            ...this.#choiceAt(target, choice, reply.copyId),
            hasPermit,
          },
        };
      case "stopped":
        target.refused(this.#options.clock.nowMs() + REFUSED_HOLD_MS);
        return { kind: "stopped" };
      case "not_running":
      case "refused":
        return { kind: "not_moved" };
    }
  }

  #choiceAt(server: Server, from: Choice, copyId: string): Choice {
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

  /** Returns the least loaded engine with the same weights. */
  #findTarget({ choice, request, progress }: Send): Server | undefined {
    const { fleet, clock, zone, random, wanted } = this.#options;
    const nowMs = clock.nowMs();
    const model = request.facts.prompt?.model ?? "";
    // For the target, the moved run is a new one, and copying it takes time: its weights must still be
    // allowed to start a response.
    const ageMs = wanted.replacedForMs(model, choice.weightsVersion ?? 0);
    if (ageMs >= wanted.limits.retiredFromMs) return undefined;
    let best: { server: Server; score: number } | undefined;
    for (const server of fleet.accepting(request.service)) {
      if (progress.tried.has(server) || server.health.isDown) continue;
      if (!fleet.versions.canContinue(progress.origin, server.entry)) continue;
      if (server.isHeldBack(nowMs) || server.isFull(nowMs)) continue;
      if (server.permitPauses.leftMs(nowMs, moveCaller(request)) > 0) continue;
      if (server.weights(model) !== choice.weightsVersion) continue;
      const { running, pendingTokens } = server.load(nowMs);
      const score = running + pendingTokens / PENDING_TOKENS_PER_RUN +
        (server.entry.zone === zone ? 0 : OTHER_ZONE_PENALTY_RUNS) + random();
      if (!best || score < best.score) best = { server, score };
    }
    return best?.server;
  }
}

/** Without an answer, the engine may have stopped the run all the same, or may do so later. */
function moveAfterFailure({ kind }: CallFailure): RunMove {
  switch (kind) {
    case "unreachable":
      return { kind: "not_moved" };
    case "no_answer":
    case "malformed":
      return { kind: "unanswered" };
  }
}
