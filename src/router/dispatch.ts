/** Serves requests: enforces the workspace's quota and sends each client a final answer. */
import { echoHeaders, retryHeaders } from "../platform/mod.ts";
import { canMeetDeadline, hopelessRetryAfterMs } from "./admission.ts";
import { RETRY_AFTER_SHARE, retryAfterMs } from "./retry_after.ts";
import type { ForwardEnd } from "./forward_end.ts";
import { type ForwarderParts, RequestForwarder } from "./request_forwarder.ts";
import { type Progress, startProgress } from "./attempt.ts";
import type { Choice } from "./choose.ts";
import {
  ServerSelector,
  type ServerSelectorOptions,
} from "./server_selector.ts";
import type { Entrance, LoadScheduling } from "./load_scheduling.ts";
import { RequestKind } from "./model.ts";
import type { ForwardTask } from "./open_runs.ts";
import type { Permits } from "./permits.ts";
import { ProcessCheck } from "./process_check.ts";
import type { Quotas } from "./quotas.ts";
import { AnswerReader, type AnswerReaderOptions } from "./read_answer.ts";
import { RefusalReason } from "./refusal_reason.ts";
import {
  type AnswerSink,
  type Outcome,
  ResendRefusal,
  type RoutedRequest,
  type ServeResult,
} from "./request.ts";
import { RESEND_MIN_LEFT_MS, Resends, type ResendsOptions } from "./resends.ts";
import { RunBackups, type RunBackupsOptions } from "./run_backups.ts";
import { RunMover } from "./run_mover.ts";
import { Sender, type SenderOptions } from "./send.ts";
import { callerOf } from "./permit_caller.ts";
import { SendGate } from "./send_gate.ts";
import type { Server } from "./server.ts";
import { OriginSource } from "./software_versions.ts";
import type { StreamOrigins } from "./stream_origins.ts";

/**
 * Added to the time of a reserved permit, so that a caller who is told to return then doesn't arrive
 * a little early.
 */
const RESERVATION_MARGIN_MS = 20;

/** A request that got no room. */
type Refused = Extract<Entrance, { kind: "refused" }>;

/** End of a request that takes up a stream of unknown origin. */
const VERSION_UNKNOWN: ForwardEnd = {
  kind: "given_up",
  reason: RefusalReason.versionUnknown,
  refusal: ResendRefusal.versionUnknown,
};

/** Dependencies of a {@link Dispatcher}. */
export interface DispatcherOptions
  extends
    ServerSelectorOptions,
    SenderOptions,
    AnswerReaderOptions,
    Omit<ResendsOptions, "hasUntriedServer" | "isVersionGone" | "fleet">,
    Pick<ForwarderParts, "log" | "quarantine" | "drainEndMs">,
    Pick<ForwarderParts, "versionRecord">,
    Pick<RunBackupsOptions, "hasBackups"> {
  /** Origins of streams that clients take up. */
  origins: Pick<StreamOrigins, "find" | "began" | "completed">;
  /** Workspace quotas. */
  quotas: Pick<Quotas, "admit" | "runsAgain" | "giveBack">;
  permits: Pick<Permits, "acquire" | "reserve" | "giveBack">;
  /** Admits requests by priority. */
  scheduling: Pick<LoadScheduling, "isOn" | "enter">;
}

/** Sends requests to backend servers and relays the answers. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #servers: ServerSelector;
  readonly #resends: Resends;
  readonly #mover: RunMover;
  readonly #parts: ForwarderParts;

  private constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#servers = ServerSelector.create(options);
    this.#resends = Resends.create({
      ...options,
      hasUntriedServer: (request, progress) =>
        this.#hasUntriedServer(request, progress),
      isVersionGone: (request, progress) =>
        this.#servers.isVersionGone(request, progress),
    });
    const gate = SendGate.create({ ...options, servers: this.#servers });
    this.#mover = RunMover.create({
      ...options,
      reserve: (request, progress) =>
        this.#resends.reserveMove(request, progress),
    });
    this.#parts = {
      ...options,
      sender: Sender.create(options),
      reader: AnswerReader.create(options),
      processes: ProcessCheck.create(options),
      gate,
      resends: this.#resends,
      mover: this.#mover,
      runBackups: RunBackups.create({ ...options, resends: this.#resends }),
      isWorthSending: (request, choice) =>
        this.#isWorthSending(request, choice),
    };
  }

  /**
   * @param options Backend servers, quotas and other dependencies.
   * @returns A dispatcher.
   */
  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /**
   * @param request The request.
   * @param sink Receives exactly one answer, unless the client disconnects.
   * @returns The outcome, for logs and metrics.
   */
  async serve(request: RoutedRequest, sink: AnswerSink): Promise<ServeResult> {
    this.#resends.recordRequest(request.service);
    const progress = startProgress(request.facts.lastEventId);
    const outcome = await this.#serveWithinQuota(request, sink, { progress });
    this.#resends.refund(request, progress);
    const { servers, ends, givenUp, ttftMs, tooLate } = progress;
    const expectedMs = progress.expectedMs ?? tooLate?.expectedMs;
    const { weights, copyFrom, endedServers, origin, originSource } = progress;
    const { quarantinedPart, hasUndeclaredEnd, firstByteRatio } = progress;
    const { waitedMs, admittedMeanwhile, storeCopyAgeMs } = progress;
    return {
      outcome,
      servers,
      ends,
      givenUp,
      ttftMs,
      expectedMs,
      firstByteRatio,
      waitedMs,
      admittedMeanwhile,
      weights,
      copyFrom,
      endedServers,
      quarantinedPart,
      hasUndeclaredEnd,
      softwareVersion: origin?.softwareVersion,
      originSource,
      storeCopyAgeMs,
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
      sink.send({ status: 429, headers }, Buffer.alloc(0));
      return { kind: "refused", reason: RefusalReason.overQuota };
    }
    const isKnown = await this.#findOrigin(request, progress);
    const task = { request, sink, progress };
    const end = isKnown ? await this.#forward(task) : VERSION_UNKNOWN;
    if (progress.runs === 0) quotas.giveBack(request);
    if (end.kind === "refused") return this.#refuse(request, sink, end);
    return end.kind === "given_up"
      ? await this.#giveUp(request, sink, { progress, end })
      : end;
  }

  /** Sends a request once its service has room for it. */
  async #forward(task: ForwardTask): Promise<ForwardEnd | Refused> {
    const { request, sink, progress } = task;
    const { scheduling } = this.#options;
    const forwarder = RequestForwarder.create(this.#parts, task);
    if (!scheduling.isOn) return await forwarder.run();
    const entered = scheduling.enter(request, sink);
    const entrance = entered instanceof Promise ? await entered : entered;
    progress.waitedMs = entrance.waitedMs;
    progress.admittedMeanwhile = entrance.admittedMeanwhile;
    switch (entrance.kind) {
      case "gone":
        return { kind: "client_gone" };
      case "refused":
        return entrance;
      case "admitted":
        // An engine has prefilled the prompt when its answer begins.
        if (request.facts.prompt) progress.onAnswerBegan = entrance.release;
        try {
          return await forwarder.run();
        } finally {
          entrance.release();
        }
    }
  }

  /** Refuses a request for which its service has no room. */
  #refuse(
    { facts }: RoutedRequest,
    sink: AnswerSink,
    { reason, retryAfterMs }: Refused,
  ): Outcome {
    const echo = echoHeaders(facts.requestId);
    const headers = [...echo, ...retryHeaders(retryAfterMs)];
    sink.send({ status: 503, headers }, Buffer.alloc(0));
    return { kind: "refused", reason };
  }

  /**
   * Finds out which software began a stream that the client takes up.
   *
   * @returns Whether it is known where the stream may continue.
   */
  async #findOrigin(
    request: RoutedRequest,
    progress: Progress,
  ): Promise<boolean> {
    const { route, facts } = request;
    const isTakenUp = route.kind === RequestKind.stream &&
      facts.lastEventId !== undefined;
    if (!isTakenUp) return true;
    const found = await this.#options.origins.find(request);
    const { origin, source, storeCopyAgeMs } = found;
    progress.origin = origin;
    progress.originSource = source;
    progress.storeCopyAgeMs = storeCopyAgeMs;
    return source !== OriginSource.unknown;
  }

  #isWorthSending(
    { facts, answerByMs }: RoutedRequest,
    { server, expectedMs, queueMs }: Choice,
  ): boolean {
    // A run that is taken up has generated a part of its answer already.
    const outputTokens = facts.lastEventId === undefined
      ? facts.prompt?.outputTokens ?? 0
      : 0;
    const outputMs = server.outputTimes.learnedMs(outputTokens);
    const leftMs = answerByMs - this.#options.clock.nowMs();
    return canMeetDeadline({ expectedMs, queueMs, outputMs }, leftMs);
  }

  #hasUntriedServer(request: RoutedRequest, progress: Progress): boolean {
    const nowMs = this.#options.clock.nowMs();
    const caller = callerOf(request, progress);
    return this.#servers.candidates(request, progress).some((server) =>
      !progress.tried.has(server) &&
      server.permitPauses.leftMs(nowMs, caller) === 0
    );
  }

  /**
   * If all servers of the service take a limited rate, reserves a permit for the caller's return.
   *
   * @returns Time until the permit is available; undefined if the rate is not what keeps the request
   *   from being served.
   */
  async #reserveReturn(
    request: RoutedRequest,
    progress: Progress,
    refusal: ResendRefusal,
  ): Promise<number | undefined> {
    if (progress.runs > 0 || refusal !== ResendRefusal.noServer) {
      return undefined;
    }
    const { clock, permits } = this.#options;
    const servers = this.#servers.candidates(request, progress).filter(
      ({ health }) => !health.isDown,
    );
    const isLimited = ({ announcements }: Server) =>
      announcements.rate.perSecond !== undefined;
    if (servers.length === 0 || !servers.every(isLimited)) return undefined;
    const leftMs = request.answerByMs - clock.nowMs();
    const waitMs = await permits.reserve(
      servers,
      callerOf(request, progress).holder,
      leftMs * RETRY_AFTER_SHARE - RESERVATION_MARGIN_MS,
    );
    return waitMs === undefined ? undefined : waitMs + RESERVATION_MARGIN_MS;
  }

  async #giveUp(
    request: RoutedRequest,
    sink: AnswerSink,
    { progress, end }: {
      progress: Progress;
      end: Extract<ForwardEnd, { kind: "given_up" }>;
    },
  ): Promise<Outcome> {
    const { refusal } = end;
    const { fleet } = this.#options;
    const pausedMs = fleet.pausedMs(request.service, progress.origin);
    const isPaused = refusal === ResendRefusal.noServer &&
      pausedMs !== undefined;
    const permitMs = await this.#reserveReturn(request, progress, refusal);
    const reason = refusal === ResendRefusal.versionGone
      ? RefusalReason.versionGone
      : isPaused
      ? RefusalReason.paused
      : permitMs !== undefined
      ? RefusalReason.overRate
      : end.reason;
    if (refusal === ResendRefusal.quarantined) {
      this.#options.quarantine.refused(request, reason);
    }
    const leftMs = request.answerByMs - this.#options.clock.nowMs();
    if (progress.sends > 0) {
      progress.givenUp = {
        refusal,
        leftMs,
        resendsLeft: this.#resends.left(request.service),
        passedOver: this.#servers.countSkipped(request, progress),
      };
    }
    if (progress.streamStarted) {
      sink.abortAnswer();
      return { kind: "broken_off", reason };
    }
    const echo = echoHeaders(request.facts.requestId);
    if (progress.runs === 0) {
      const knownMs = canBeginAnew(refusal)
        ? 0
        : progress.quarantinedForMs ?? pausedMs ?? permitMs ??
          (reason === RefusalReason.tooLate
            ? hopelessRetryAfterMs(leftMs, progress.tooLate?.queueMs)
            : undefined);
      const pauseMs = knownMs ?? retryAfterMs(leftMs, this.#options.random);
      const headers = [...echo, ...retryHeaders(pauseMs)];
      sink.send({ status: 503, headers }, Buffer.alloc(0));
      return { kind: "refused", reason };
    }
    const status = leftMs <= RESEND_MIN_LEFT_MS ? 504 : 502;
    sink.send({ status, headers: echo }, Buffer.alloc(0));
    return { kind: "failed", reason, status };
  }
}

/** Whether a client gets its answer by a new request rather than by taking up its stream later. */
function canBeginAnew(refusal: ResendRefusal): boolean {
  return refusal === ResendRefusal.versionGone ||
    refusal === ResendRefusal.versionUnknown;
}
