/** State that a stand-in engine shares with its routes. */
import type { PrefixCache } from "./_engine_cache.ts";
import type { CacheEventFeed } from "./_engine_events.ts";
import type { EngineScheduler } from "./_engine_scheduler.ts";
import type { LoadHistory } from "./_load_history.ts";
import type { ModelSet } from "./_model_set.ts";
import type {
  EngineExecution,
  ExecutedOrder,
  StandinEngineFaults,
  StandinEngineOptions,
} from "./engine_options.ts";

/** Components and mutable state of a running engine. */
export interface EngineState {
  readonly options: StandinEngineOptions;
  readonly faults: StandinEngineFaults;
  readonly cache: PrefixCache;
  readonly feed: CacheEventFeed;
  readonly scheduler: EngineScheduler;
  readonly loadHistory: LoadHistory;
  readonly executions: EngineExecution[];
  readonly orders: ExecutedOrder[];
  models: ModelSet;
  incarnation: string;
  role: string;
  highestFencingNumber: bigint;
}
