/** The entry: the process that accepts callers' requests and routes them to backend servers. */
export { Entry, ListenError } from "./entry.ts";
export type { EntryOptions } from "./options.ts";
export { DEFAULT_TUNING, type EntryTuning } from "./tuning.ts";
