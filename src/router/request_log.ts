/** Writes one log line per request, limited in rate, and records the metrics of requests. */
import type { Clock, Logger, Metrics } from "../base/mod.ts";
import { digestOf } from "./request_digest.ts";
import type {
  GiveUpDetails,
  LocalAnswer,
  Outcome,
  RoutedRequest,
  ServeResult,
} from "./request.ts";
import type { RequestFacts } from "./model.ts";

/** Log lines per second for answered requests, and separately for all others. */
const MAX_LINES_PER_S = 100;
const WINDOW_MS = 1000;

/** Logs the outcomes of requests and counts them in the metrics. */
export class RequestLog {
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #clock: Clock;
  readonly #answered = { lines: 0, leftOut: 0 };
  readonly #failed = { lines: 0, leftOut: 0 };
  #windowEndMs = 0;

  private constructor(log: Logger, metrics: Metrics, clock: Clock) {
    this.#log = log;
    this.#metrics = metrics;
    this.#clock = clock;
  }

  /**
   * @param log Receives the log lines.
   * @param metrics Holds the counters and histograms.
   * @param options Clock of the rate limit.
   * @returns A request log with no lines written.
   */
  static create(
    log: Logger,
    metrics: Metrics,
    { clock }: { clock: Clock },
  ): RequestLog {
    return new RequestLog(log, metrics, clock);
  }

  /**
   * Records a request that was routed.
   *
   * @param request A request that has ended.
   * @param result How it ended.
   */
  logServed(request: RoutedRequest, result: ServeResult): void {
    const { outcome } = result;
    const { route, service } = request;
    this.#metrics.counter("requests_total", {
      help: "Requests by route, service and outcome",
      labels: { route: route.name, service, outcome: outcome.kind },
    }).add();
    if (result.ttftMs !== undefined) {
      this.#metrics.histogram("first_byte_ms", {
        help: "Time from a request's arrival to its answer's first byte",
        labels: { route: route.name },
      }).record(result.ttftMs);
    }
    if (result.firstByteRatio !== undefined) {
      this.#metrics.histogram("first_byte_over_expected_percent", {
        help:
          "Time from a send to the answer's first byte, over the expected time",
        labels: { service },
      }).record(100 * result.firstByteRatio);
    }
    const isAnswered = outcome.kind === "answered";
    const quota = isAnswered ? this.#answered : this.#failed;
    if (!this.#takeLine(quota)) return;
    this.#log.info({
      event: "request",
      id: request.facts.requestId,
      // Attempts of the same request have different ids and the same digest.
      digest: isAnswered ? undefined : digestOf(request),
      route: route.name,
      service,
      workspace: request.workspace?.name,
      lastEventId: request.facts.lastEventId,
      resumedId: request.facts.resumedId,
      originSource: result.originSource,
      // How old the knowledge is by which the origin was found.
      storeCopyAgeMs: round(result.storeCopyAgeMs),
      softwareVersion: result.softwareVersion,
      servers: result.servers,
      ends: result.ends.length > 0 ? result.ends : undefined,
      ...describeGivenUp(result.givenUp),
      ...describe(outcome),
      ttftMs: round(result.ttftMs),
      expectedMs: round(result.expectedMs),
      priority: request.rank,
      waitedMs: round(result.waitedMs),
      admittedMeanwhile: result.admittedMeanwhile,
      tookMs: round(this.#clock.nowMs() - request.arrivedAtMs),
      timeMs: round(request.answerByMs - request.arrivedAtMs),
      endedServers: result.endedServers,
      quarantinedPart: result.quarantinedPart,
      promptTokens: request.facts.prompt?.promptTokens,
      parts: isAnswered ? undefined : partIds(request.facts),
      copyFrom: isAnswered ? undefined : result.copyFrom,
      undeclaredEnd: result.hasUndeclaredEnd,
      weightsVersion: result.weights?.version,
      // Absent if the weights are the newest known version.
      replacedForMs: round(result.weights?.replacedForMs || undefined),
    });
  }

  /**
   * Records a request that the entry answered itself.
   *
   * @param facts The request.
   * @param answer Why no backend server was used.
   * @param version Version of the configuration in force.
   */
  logLocal(facts: RequestFacts, answer: LocalAnswer, version?: number): void {
    this.#metrics.counter("local_answers_total", {
      help: "Requests that were answered without a backend server, by reason",
      labels: { reason: answer },
    }).add();
    if (!this.#takeLine(this.#failed)) return;
    this.#log.info({
      event: "request",
      id: facts.requestId,
      outcome: "local",
      reason: answer,
      configVersion: version,
    });
  }

  #takeLine(quota: { lines: number; leftOut: number }): boolean {
    const nowMs = this.#clock.nowMs();
    if (nowMs >= this.#windowEndMs) this.#startWindow(nowMs);
    if (quota.lines >= MAX_LINES_PER_S) {
      quota.leftOut++;
      return false;
    }
    quota.lines++;
    return true;
  }

  #startWindow(nowMs: number): void {
    const leftOut = this.#answered.leftOut + this.#failed.leftOut;
    if (leftOut > 0) this.#log.warn({ event: "log_lines_left_out", leftOut });
    for (const quota of [this.#answered, this.#failed]) {
      quota.lines = 0;
      quota.leftOut = 0;
    }
    this.#windowEndMs = nowMs + WINDOW_MS;
  }
}

function describe(outcome: Outcome): Record<string, unknown> {
  switch (outcome.kind) {
    case "answered":
      return { outcome: outcome.kind, status: outcome.status };
    case "failed":
      return {
        outcome: outcome.kind,
        status: outcome.status,
        reason: outcome.reason,
      };
    case "refused":
    case "broken_off":
      return { outcome: outcome.kind, reason: outcome.reason };
    case "client_gone":
      return { outcome: outcome.kind };
  }
}

function describeGivenUp(
  givenUp: GiveUpDetails | undefined,
): Record<string, unknown> {
  if (!givenUp) return {};
  const { refusal, leftMs, resendsLeft, passedOver } = givenUp;
  return {
    notResent: refusal,
    leftMs: round(leftMs),
    resendsLeft: Math.floor(resendsLeft),
    passedOver,
  };
}

function partIds({ prompt }: RequestFacts): string[] | undefined {
  return prompt?.parts.map(({ id }) => id);
}

function round(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
