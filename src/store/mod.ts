/** Interface and adapters of the platform's key-value service. */
export {
  findCommitRefusal,
  MAX_COMMIT_BYTES,
  MAX_COMMIT_OPS,
} from "./commit_limits.ts";
export { EtcdStore, type EtcdStoreOptions } from "./etcd_store.ts";
export { MemoryStore, type StoreSnapshot } from "./memory_store.ts";
export type {
  MemoryStoreOptions,
  StoreCounters,
  StoreFaults,
} from "./memory_store_options.ts";
export {
  type KeyRange,
  prefixRange,
  RevisionTable,
  type TableEvent,
  type TableListener,
  type TableSnapshot,
} from "./revision_table.ts";
export {
  comparePositions,
  fencingNumberOf,
  formatPosition,
  isAfter,
  isBefore,
  isSamePosition,
  isStart,
  laterOf,
  nextPosition,
  type NoFencingNumber,
  parsePosition,
  positionAt,
  START_POSITION,
  type StorePosition,
} from "./position.ts";
export type {
  CommitOutcome,
  Expectation,
  KeyValueEntry,
  KeyValueStore,
  Listing,
  StoreFailure,
  StoreLease,
  WatchStep,
  Write,
} from "./store.ts";
