/** Prometheus metrics of an entry. */
import type { Counter, Histogram, Metrics } from "../base/metrics.ts";

/** Kind of a request, by the API that was called. */
export type RequestKind = "chat" | "text" | "service";

/** Measurements of one finished request. */
export interface RequestSample {
  kind: RequestKind;
  /** Empty if the request failed before its class was known. */
  className: string;
  /** `ok` or the error code. */
  outcome: string;
  durationMs: number;
  /** Time to the first piece of the answer; undefined if none arrived. */
  ttftMs: number | undefined;
  /** Time from the request's arrival to its start at an agent; undefined if it was not started. */
  placementMs: number | undefined;
  attempts: number;
  reattaches: number;
  completionTokens: number;
}

const GAUGES = {
  in_flight_requests: "Requests that are being served",
  open_channels: "Connections to agents and other entries",
  known_instances: "Instances in the list, agents and entries",
  config_age_ms: "Since the store confirmed the branches in force",
} as const;

/** Functions that return the current value of each gauge. */
export type GaugeSources = Record<keyof typeof GAUGES, () => number>;

/** Records requests. The labels are kind, outcome and class, never teams or prompts. */
export class EntryMetrics {
  readonly #metrics: Metrics;
  readonly #retries: Counter;
  readonly #reattaches: Counter;
  readonly #tokens: Counter;
  readonly #placement: Histogram;

  private constructor(metrics: Metrics) {
    this.#metrics = metrics;
    this.#retries = metrics.counter("cicadahitch_entry_retries_total", {
      help: "Attempts beyond the first one of a request",
    });
    this.#reattaches = metrics.counter("cicadahitch_entry_reattaches_total", {
      help: "Connections to agents that were replaced while a run went on",
    });
    this.#tokens = metrics.counter(
      "cicadahitch_entry_completion_tokens_total",
      {
        help: "Generated tokens delivered",
      },
    );
    this.#placement = metrics.histogram("cicadahitch_entry_placement_ms", {
      help: "From a request's arrival to its start at an agent",
    });
  }

  /**
   * @param metrics The process's registry.
   * @returns Metrics of an entry that has served no request.
   */
  static create(metrics: Metrics): EntryMetrics {
    return new EntryMetrics(metrics);
  }

  /** @param sample A finished request. */
  record(sample: RequestSample): void {
    const { kind, outcome, className } = sample;
    this.#metrics.counter("cicadahitch_entry_requests_total", {
      help: "Requests by kind and outcome",
      labels: { kind, outcome },
    }).add();
    this.#retries.add(Math.max(0, sample.attempts - 1));
    this.#reattaches.add(sample.reattaches);
    this.#tokens.add(sample.completionTokens);
    if (sample.placementMs !== undefined) {
      this.#placement.record(sample.placementMs);
    }
    if (sample.ttftMs === undefined) return;
    this.#metrics.histogram("cicadahitch_entry_ttft_ms", {
      help: "From a request's arrival to the first piece of its answer",
      labels: { kind, class: className },
    }).record(sample.ttftMs);
  }

  /**
   * Registers gauges whose values are read from other parts of the entry.
   *
   * @param sources Called on each scrape.
   */
  registerGauges(sources: GaugeSources): void {
    for (const [name, help] of Object.entries(GAUGES)) {
      const read = sources[name as keyof GaugeSources];
      this.#metrics.gauge(`cicadahitch_entry_${name}`, { help }).setCallback(
        read,
      );
    }
  }

  /** @returns All metrics of the process in the Prometheus text format. */
  render(): string {
    return this.#metrics.render();
  }
}
