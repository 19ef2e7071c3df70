/**
 * Learns how fast the engines of a service are, and how much slower or faster each of its servers is.
 * Decides nothing, and has neither a clock nor messages of its own.
 */
export {
  type EngineRates,
  type EngineWork,
  expectedTtftMs,
  INITIAL_RATES,
  type RateSample,
} from "./engine_rates.ts";
export { type PaceSums, ServerPace } from "./server_pace.ts";
export { ServiceRates } from "./service_rates.ts";
