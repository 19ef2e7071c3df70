/** Clock, lifecycle, logging and metrics, used by all parts of cicadahitch. */
export { type Clock, systemClock } from "./clock.ts";
export { Lifecycle, type Owned } from "./lifecycle.ts";
export {
  createLogger,
  createSilentLogger,
  LOG_LEVELS,
  type Logger,
  type LoggerOptions,
  type LogLevel,
} from "./log.ts";
export {
  Counter,
  Gauge,
  Histogram,
  type Labels,
  type MetricOptions,
  Metrics,
  type MetricsOptions,
} from "./metrics.ts";
