/** Checks what a soak's entries make of a store that is lost for a while or comes back from a copy. */
import {
  type ConfigAck,
  type ConfigSample,
  type LeavingAck,
  type ServerRecord,
  type SoakHistory,
  STABLE_MS,
  STORE,
  type StoreCall,
  type Violation,
} from "./_soak_history.ts";

/** Time after which a server that leaves gets no more requests, from the platform's limits. */
const DRAIN_MS = 2000;
/** Time after which a configuration is in force, from the platform's limits. */
const CONFIG_MS = 2000;
/** Window in which the calls of an entry are counted. */
const WINDOW_MS = 1000;
/** An entry's watch continues after changes no sooner than this, for each entry of the fleet. */
const COALESCE_MS_PER_ENTRY = 20;
/** Shortest backoff after a failed call, less its jitter. */
const MIN_RETRY_MS = 85;
/** A restored store refuses a watch, and the entry lists it; two restores fit into a window. */
const RESTORE_CALLS = 4;
/** Records of rates, software versions and suspects, each written twice a second at most. */
const RECORD_CALLS = 6;
/** Grants, renewals and writes of the entry's registration and the lease of the weights roll. */
const LEASE_CALLS = 4;

/** What the checks of the store had to judge. */
export interface StoreCounts {
  restores: number;
  /** Pairs of a leaving server and an entry that is in touch when its announcement binds. */
  judgedLeavings: number;
  /** Pairs of a configuration and an entry that is in touch when it must be in force. */
  judgedConfigs: number;
  /** Most calls of an entry in a window. */
  busiestCalls: number;
}

/**
 * @param history A soak's history.
 * @returns What the checks of the store had to judge.
 */
export function countStore(history: SoakHistory): StoreCounts {
  const { eras, leavingAcks, configAcks, storeCalls } = history;
  const entries = [...new Set(history.configSamples.map(({ entry }) => entry))];
  const touchedAt = (atMs: number) =>
    entries.filter((entry) => isInTouch(history, entry, atMs)).length;
  const leavings = leavingAcks.map((ack, i) => {
    const isFirst = leavingAcks.findIndex(({ serverId, era, atMs }) =>
      serverId === ack.serverId && era === ack.era &&
      isCalm(history, STORE, atMs)
    ) === i;
    const bindsAtMs = ack.atMs + DRAIN_MS + 1;
    return isFirst && isBinding(history, ack, bindsAtMs)
      ? touchedAt(bindsAtMs)
      : 0;
  });
  const configs = configAcks.map(({ atMs, era }) => {
    const bindsAtMs = atMs + CONFIG_MS + 1;
    return era === eraAt(history, bindsAtMs) ? touchedAt(bindsAtMs) : 0;
  });
  const busiest = [...callTimes(storeCalls).values()].map((times) =>
    busiestWindow(times).count
  );
  return {
    restores: eras.length - 1,
    judgedLeavings: sum(leavings),
    judgedConfigs: sum(configs),
    busiestCalls: Math.max(0, ...busiest),
  };
}

/**
 * @param history A soak's history.
 * @returns All broken promises about the store.
 */
export function findStoreViolations(history: SoakHistory): Violation[] {
  return [
    ...findLateArrivals(history),
    ...findOldConfigs(history),
    ...findConfigRollbacks(history),
    ...findExcessCalls(history),
  ];
}

/** A server that says it leaves gets no requests some time later, from entries in touch. */
function findLateArrivals(history: SoakHistory): Violation[] {
  const { clients, arrivals, leavingAcks } = history;
  const entryOf = new Map(clients.map(({ id, entry }) => [id, entry]));
  const late = new Map<string, { first: ServerRecord; count: number }>();
  for (const arrival of arrivals) {
    const entry = entryOf.get(arrival.requestId);
    if (entry === undefined) continue;
    const isLate = leavingAcks.some((ack) =>
      ack.serverId === arrival.serverId && isBinding(history, ack, arrival.atMs)
    );
    if (!isLate || !isInTouch(history, entry, arrival.atMs)) continue;
    const key = `server ${arrival.serverId} from entry ${entry}`;
    const found = late.get(key);
    if (found) found.count++;
    else late.set(key, { first: arrival, count: 1 });
  }
  return [...late].map(([key, { first, count }]) => ({
    promise: "leaving_server_gets_no_requests",
    atMs: first.atMs,
    detail: `${count} requests reached ${key}, the first ${first.requestId}`,
  }));
}

/** Whether a server's announcement binds: the store was stable, and has not gone back since. */
function isBinding(
  history: SoakHistory,
  { era, atMs }: LeavingAck,
  nowMs: number,
): boolean {
  return nowMs > atMs + DRAIN_MS && era === eraAt(history, nowMs) &&
    isCalm(history, STORE, atMs);
}

/** An entry in touch has the newest configuration some time after the store's present era got it. */
function findOldConfigs(history: SoakHistory): Violation[] {
  const reported = new Set<string>();
  return history.configSamples.flatMap((sample) => {
    const due = dueConfig(history, sample);
    if (!due || sample.version >= due.version) return [];
    if (!isInTouch(history, sample.entry, sample.atMs)) return [];
    const key = `${sample.entry} ${due.version} ${due.era}`;
    if (reported.has(key)) return [];
    reported.add(key);
    return [{
      promise: "newest_configuration_is_known",
      atMs: sample.atMs,
      detail: `entry ${sample.entry} has version ${sample.version} ${
        Math.round(sample.atMs - due.atMs)
      } ms after the ack of version ${due.version} in era ${due.era}`,
    }];
  });
}

function dueConfig(
  history: SoakHistory,
  { atMs }: ConfigSample,
): ConfigAck | undefined {
  const era = eraAt(history, atMs);
  return history.configAcks.findLast((ack) =>
    ack.era === era && atMs > ack.atMs + CONFIG_MS
  );
}

function findConfigRollbacks({ configSamples }: SoakHistory): Violation[] {
  const newest = new Map<string, number>();
  return configSamples.flatMap(({ entry, pid, atMs, version }) => {
    const key = `${entry} ${pid}`;
    const before = newest.get(key) ?? 0;
    newest.set(key, Math.max(before, version));
    if (version >= before) return [];
    return [{
      promise: "configuration_never_goes_back",
      atMs,
      detail: `entry ${entry} went from version ${before} to ${version}`,
    }];
  });
}

/** Calls of an entry in a window that its intervals and backoffs allow. */
function allowedCalls(entryCount: number): number {
  const pauseMs = Math.min(MIN_RETRY_MS, COALESCE_MS_PER_ENTRY * entryCount);
  return Math.ceil(WINDOW_MS / pauseMs) + RESTORE_CALLS + RECORD_CALLS +
    LEASE_CALLS;
}

function findExcessCalls({ storeCalls }: SoakHistory): Violation[] {
  const timesOf = callTimes(storeCalls);
  const allowed = allowedCalls(timesOf.size);
  return [...timesOf].flatMap(([entry, times]) => {
    const { count, atMs } = busiestWindow(times);
    if (count <= allowed) return [];
    return [{
      promise: "store_calls_are_bounded",
      atMs,
      detail: `entry ${entry} sent ${count} calls in ${WINDOW_MS} ms, ` +
        `allowed ${allowed}`,
    }];
  });
}

function callTimes(calls: readonly StoreCall[]): Map<number, number[]> {
  const timesOf = new Map<number, number[]>();
  for (const { entry, atMs } of calls) {
    const times = timesOf.get(entry) ?? [];
    times.push(atMs);
    timesOf.set(entry, times);
  }
  return timesOf;
}

function busiestWindow(times: number[]): { count: number; atMs: number } {
  let busiest = { count: 0, atMs: 0 };
  for (let from = 0, to = 0; to < times.length; to++) {
    while (times[to]! - times[from]! >= WINDOW_MS) from++;
    const count = to - from + 1;
    if (count > busiest.count) busiest = { count, atMs: times[to]! };
  }
  return busiest;
}

/** Whether neither the entry nor the store has been disrupted for a while. */
function isInTouch(
  history: SoakHistory,
  entry: number,
  atMs: number,
): boolean {
  return isCalm(history, entry, atMs) && isCalm(history, STORE, atMs);
}

function isCalm(
  { disruptions }: SoakHistory,
  entry: number,
  atMs: number,
): boolean {
  return !disruptions.some((one) =>
    one.entry === entry && one.fromMs <= atMs && one.toMs >= atMs - STABLE_MS
  );
}

function eraAt({ eras }: SoakHistory, atMs: number): number {
  return eras.findLast(({ fromMs }) => fromMs <= atMs)?.era ?? 0;
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
