/** One log line for each request, bounded in number, and the metrics of requests. */
import type { Clock, Logger, Metrics } from "../base/mod.ts";
import { digestOf } from "./request_digest.ts";
import type {
  GivenUp,
  LocalAnswer,
  Outcome,
  RoutedRequest,
  Served,
} from "./request.ts";
import type { RequestFacts } from "./model.ts";

/** Lines of answered requests a second; failed and refused ones have as many for themselves. */
const LINES_PER_S = 100;
const WINDOW_MS = 1000;

/** Writes what became of requests. */
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
   * @param log Where lines go.
   * @param metrics Where counters and histograms are kept.
   * @param options Clock of the bound.
   * @returns An empty log.
   */
  static create(
    log: Logger,
    metrics: Metrics,
    { clock }: { clock: Clock },
  ): RequestLog {
    return new RequestLog(log, metrics, clock);
  }

  /**
   * @param request A request that is over.
   * @param served What became of it.
   */
  served(request: RoutedRequest, served: Served): void {
    const { outcome } = served;
    const { route, service } = request;
    this.#metrics.counter("requests_total", {
      help: "Requests by route, service and outcome",
      labels: { route: route.name, service, outcome: outcome.kind },
    }).add();
    if (served.ttftMs !== undefined) {
      this.#metrics.histogram("first_byte_ms", {
        help: "Time from a request's arrival to its answer's first byte",
        labels: { route: route.name },
      }).record(served.ttftMs);
    }
    const quota = outcome.kind === "answered" ? this.#answered : this.#failed;
    if (!this.#hasRoom(quota)) return;
    this.#log.info({
      event: "request",
      id: request.facts.requestId,
      // The client's other attempts have other ids.
      digest: outcome.kind === "answered" ? undefined : digestOf(request),
      route: route.name,
      service,
      workspace: request.workspace?.name,
      servers: served.servers,
      ends: served.ends.length > 0 ? served.ends : undefined,
      ...describeGivenUp(served.givenUp),
      ...describe(outcome),
      ttftMs: round(served.ttftMs),
      expectedMs: round(served.expectedMs),
      tookMs: round(this.#clock.nowMs() - request.arrivedAtMs),
      timeMs: round(request.answerByMs - request.arrivedAtMs),
      endedServers: served.endedServers,
      promptTokens: request.facts.prompt?.promptTokens,
      weightsVersion: served.weights?.version,
      // Left out while the weights are the newest known.
      replacedForMs: round(served.weights?.replacedForMs || undefined),
    });
  }

  /**
   * @param facts A request that the router answered by itself.
   * @param answer Why.
   * @param version Version of the configuration in force.
   */
  local(facts: RequestFacts, answer: LocalAnswer, version?: number): void {
    this.#metrics.counter("local_answers_total", {
      help: "Requests that were answered without a backend server, by reason",
      labels: { reason: answer },
    }).add();
    if (!this.#hasRoom(this.#failed)) return;
    this.#log.info({
      event: "request",
      id: facts.requestId,
      outcome: "local",
      reason: answer,
      configVersion: version,
    });
  }

  #hasRoom(quota: { lines: number; leftOut: number }): boolean {
    const nowMs = this.#clock.nowMs();
    if (nowMs >= this.#windowEndMs) this.#turn(nowMs);
    if (quota.lines >= LINES_PER_S) {
      quota.leftOut++;
      return false;
    }
    quota.lines++;
    return true;
  }

  #turn(nowMs: number): void {
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
  givenUp: GivenUp | undefined,
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

function round(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
