/** Clock, lifecycle, logging, metrics and byte buffers, used by all parts of cicadahitch. */
export { ByteCollector } from "./byte_collector.ts";
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
