/**
 * Counters, gauges and HDR histograms, rendered as Prometheus text. Callers obtain a handle once
 * and keep it, so that an update on the hot path only increments a field.
 */
import hdr, { type Histogram as HdrHistogram } from "hdr-histogram-js";
import { type Clock, systemClock } from "./clock.ts";

/** Maximum number of series per metric name; further ones share one with {@link OVERFLOW_LABEL}. */
export const MAX_SERIES_PER_NAME = 256;
/** Label of the series that aggregates all series beyond {@link MAX_SERIES_PER_NAME}. */
export const OVERFLOW_LABEL = "overflow";
/** Quantiles rendered for each histogram. */
export const QUANTILES = [0.5, 0.9, 0.95, 0.99, 0.999] as const;

/** Length of a histogram's time window. */
const WINDOW_MS = 60_000;
/** Histograms record integers, so values are scaled to thousandths. */
const UNITS_PER_VALUE = 1000;
/** Largest recorded value: one hour, for values in ms. */
const MAX_UNITS = 3_600_000 * UNITS_PER_VALUE;

/** Label names and values; use only labels with few distinct values. */
export type Labels = Readonly<Record<string, string>>;

/** Description and labels of a metric. */
export interface MetricOptions {
  /** One-line description. */
  help: string;
  labels?: Labels;
}

/** Options of {@link Metrics.create}. */
export interface MetricsOptions {
  clock?: Clock;
}

/** A value that only increases. */
export class Counter {
  #value = 0;

  private constructor() {}

  /** @returns A counter at 0. */
  static create(): Counter {
    return new Counter();
  }

  /** @param count Amount to add. */
  add(count = 1): void {
    this.#value += count;
  }

  /** Sum of all added amounts. */
  get value(): number {
    return this.#value;
  }
}

/** A value that can rise and fall. */
export class Gauge {
  #value = 0;
  #read: (() => number) | undefined;

  private constructor() {}

  /** @returns A gauge at 0. */
  static create(): Gauge {
    return new Gauge();
  }

  /** @param value The new value. */
  set(value: number): void {
    this.#value = value;
  }

  /** @param change Amount to add to the value. */
  add(change: number): void {
    this.#value += change;
  }

  /** @param read Callback that supplies the value each time it is read, in place of `set`. */
  setCallback(read: () => number): void {
    this.#read = read;
  }

  /** The current value. */
  get value(): number {
    return this.#read ? this.#read() : this.#value;
  }
}

/** A distribution with two significant digits; its quantiles cover the last one to two minutes. */
export class Histogram {
  readonly #clock: Clock;
  #current: HdrHistogram | undefined;
  #previous: HdrHistogram | undefined;
  #windowEndMs = 0;
  #count = 0;
  #sum = 0;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Clock of the time window.
   * @returns An empty histogram; its memory is allocated with the first value.
   */
  static create(clock: Clock): Histogram {
    return new Histogram(clock);
  }

  /** @param value At least 0; resolved to a thousandth, so ms are resolved to the microsecond. */
  record(value: number): void {
    const clamped = Number.isFinite(value) ? Math.max(0, value) : 0;
    const units = Math.min(MAX_UNITS, Math.round(clamped * UNITS_PER_VALUE));
    this.#rotateWindow();
    this.#current ??= buildHistogram();
    this.#current.recordValue(units);
    this.#count += 1;
    this.#sum += clamped;
  }

  /** Number of values recorded so far, regardless of the window. */
  get count(): number {
    return this.#count;
  }

  /** Sum of all values recorded so far, regardless of the window. */
  get sum(): number {
    return this.#sum;
  }

  /**
   * @param quantile Between 0 and 1.
   * @returns The value at that quantile, or NaN if the window is empty.
   */
  quantile(quantile: number): number {
    this.#rotateWindow();
    const merged = this.#merge();
    if (!merged || merged.totalCount === 0) return Number.NaN;
    return merged.getValueAtPercentile(quantile * 100) / UNITS_PER_VALUE;
  }

  #rotateWindow(): void {
    const nowMs = this.#clock.nowMs();
    if (nowMs < this.#windowEndMs) return;
    const isFresh = nowMs - this.#windowEndMs < WINDOW_MS;
    this.#previous = isFresh ? this.#current : undefined;
    this.#current = undefined;
    this.#windowEndMs = nowMs + WINDOW_MS;
  }

  #merge(): HdrHistogram | undefined {
    if (!this.#previous || !this.#current) {
      return this.#current ?? this.#previous;
    }
    const merged = buildHistogram();
    merged.add(this.#previous);
    merged.add(this.#current);
    return merged;
  }
}

type Metric =
  | { kind: "counter"; metric: Counter }
  | { kind: "gauge"; metric: Gauge }
  | { kind: "summary"; metric: Histogram };

interface Family {
  kind: Metric["kind"];
  help: string;
  series: Map<string, Metric>;
}

/** A metrics registry. The same name and labels return the same handle. */
export class Metrics {
  readonly #families = new Map<string, Family>();
  readonly #clock: Clock;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param options Clock for the histograms' windows.
   * @returns An empty registry.
   */
  static create(options: MetricsOptions = {}): Metrics {
    return new Metrics(options.clock ?? systemClock);
  }

  /**
   * @param name Prometheus name, ending in `_total`.
   * @param options Help and labels.
   * @returns The handle.
   */
  counter(name: string, options: MetricOptions): Counter {
    const series = this.#series(name, options, () => ({
      kind: "counter",
      metric: Counter.create(),
    }));
    if (series.kind !== "counter") throw new MetricKindError(name, series.kind);
    return series.metric;
  }

  /**
   * @param name Prometheus name with the unit as its suffix.
   * @param options Help and labels.
   * @returns The handle.
   */
  gauge(name: string, options: MetricOptions): Gauge {
    const series = this.#series(name, options, () => ({
      kind: "gauge",
      metric: Gauge.create(),
    }));
    if (series.kind !== "gauge") throw new MetricKindError(name, series.kind);
    return series.metric;
  }

  /**
   * @param name Prometheus name with the unit as its suffix (`_ms`).
   * @param options Help and labels.
   * @returns The handle.
   */
  histogram(name: string, options: MetricOptions): Histogram {
    const series = this.#series(name, options, () => ({
      kind: "summary",
      metric: Histogram.create(this.#clock),
    }));
    if (series.kind !== "summary") throw new MetricKindError(name, series.kind);
    return series.metric;
  }

  /** @returns All series in the Prometheus text format. */
  render(): string {
    const lines: string[] = [];
    for (const [name, family] of this.#families) {
      lines.push(`# HELP ${name} ${escapeHelp(family.help)}`);
      lines.push(`# TYPE ${name} ${family.kind}`);
      for (const [labels, series] of family.series) {
        renderSeries(lines, name, { labels, series });
      }
    }
    return lines.join("\n") + "\n";
  }

  #series(
    name: string,
    options: MetricOptions,
    make: () => Metric,
  ): Metric {
    const family = this.#family(name, options, make);
    const requested = formatLabels(options.labels ?? {});
    const existing = family.series.get(requested);
    if (existing) return existing;
    const isFull = family.series.size >= MAX_SERIES_PER_NAME;
    const key = isFull ? `${OVERFLOW_LABEL}="true"` : requested;
    const series = family.series.get(key) ?? make();
    family.series.set(key, series);
    return series;
  }

  #family(name: string, options: MetricOptions, make: () => Metric): Family {
    const existing = this.#families.get(name);
    if (existing) return existing;
    const family: Family = {
      kind: make().kind,
      help: options.help,
      series: new Map(),
    };
    this.#families.set(name, family);
    return family;
  }
}

/** The name is already registered for a metric of another kind. */
export class MetricKindError extends Error {
  /**
   * @param metric Name of the metric.
   * @param kind Kind under which it is registered.
   */
  constructor(readonly metric: string, readonly kind: string) {
    super(`Metric ${metric} is already registered as a ${kind}`);
  }
}

function buildHistogram(): HdrHistogram {
  return hdr.build({
    bitBucketSize: 32,
    autoResize: true,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
}

function renderSeries(
  lines: string[],
  name: string,
  { labels, series }: { labels: string; series: Metric },
): void {
  switch (series.kind) {
    case "counter":
    case "gauge":
      lines.push(`${name}${inBraces(labels)} ${series.metric.value}`);
      return;
    case "summary":
      for (const quantile of QUANTILES) {
        const label = `quantile="${quantile}"`;
        const all = labels ? `${labels},${label}` : label;
        lines.push(`${name}{${all}} ${series.metric.quantile(quantile)}`);
      }
      lines.push(`${name}_sum${inBraces(labels)} ${series.metric.sum}`);
      lines.push(`${name}_count${inBraces(labels)} ${series.metric.count}`);
  }
}

function inBraces(labels: string): string {
  return labels ? `{${labels}}` : "";
}

function formatLabels(labels: Labels): string {
  return Object.keys(labels).sort()
    .map((name) => `${name}="${escapeLabel(labels[name] ?? "")}"`)
    .join(",");
}

function escapeLabel(value: string): string {
  return value.replaceAll("\\", "\\\\").replaceAll('"', '\\"')
    .replaceAll("\n", "\\n");
}

function escapeHelp(help: string): string {
  return help.replaceAll("\\", "\\\\").replaceAll("\n", "\\n");
}
