/** Metrics of the admission of requests. */
import type { Counter, Metrics } from "../base/mod.ts";

/** How the admission of a request was decided. */
export const AdmissionOutcome = {
  /** Admitted at once, as there was room for all requests. */
  free: "free",
  /** Admitted at once, though there was not room for all. */
  allowed: "allowed",
  /** Admitted after waiting. */
  waited: "waited",
  /** Refused at once. */
  noRoom: "no_room",
  /** Refused after waiting. */
  waitEnded: "wait_ended",
} as const;

/** One of {@link AdmissionOutcome}. */
export type AdmissionOutcome =
  typeof AdmissionOutcome[keyof typeof AdmissionOutcome];

/** A decision. */
export interface AdmissionLabels {
  service: string;
  priority: number;
  outcome: AdmissionOutcome;
}

/** Counters and histograms; their handles are kept, as each request updates one. */
export class AdmissionMetrics {
  readonly #metrics: Metrics;
  readonly #counters = new Map<string, Counter>();

  private constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  /**
   * @param metrics Holds the counters and histograms.
   * @returns Metrics without values.
   */
  static create(metrics: Metrics): AdmissionMetrics {
    return new AdmissionMetrics(metrics);
  }

  /** @param labels A decision. */
  count({ service, priority, outcome }: AdmissionLabels): void {
    const key = `${priority}/${outcome}/${service}`;
    let counter = this.#counters.get(key);
    if (!counter) {
      counter = this.#metrics.counter("admission_total", {
        help: "Requests by the decision on their admission",
        labels: { service, priority: String(priority), outcome },
      });
      this.#counters.set(key, counter);
    }
    counter.add();
  }

  /**
   * @param service The service.
   * @param waitedMs Time that a request waited until it was admitted or refused.
   */
  waited(service: string, waitedMs: number): void {
    this.#metrics.histogram("admission_wait_ms", {
      help: "Time that requests waited for room of their service",
      labels: { service },
    }).record(waitedMs);
  }
}
