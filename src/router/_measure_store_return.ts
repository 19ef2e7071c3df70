/**
 * Measures what entries ask of the platform's store after it has come back from an older copy. Run
 * `node --import tsx src/router/_measure_store_return.ts [entries] [servers]`; it prints one line per
 * second from the store's return: calls by kind, refused calls, bytes of bodies, calls of the busiest
 * entry, and entries that lack a change acknowledged at the return.
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { systemClock as clock } from "../base/mod.ts";
import { StandinPlatformStore } from "../standin/mod.ts";
import { StoreReturnFleet } from "./_store_return_fleet.ts";
import {
  CallKind,
  StoreTraffic,
  sumTraffic,
  type Traffic,
} from "./_store_traffic.ts";

const DEFAULT_ENTRIES = 360;
const DEFAULT_SERVERS = 400;
const HEARTBEAT_MS = 1200;
const SEED = 1;
/** Part of the entries that start after the copy is made, so that the store loses their leases. */
const LATE_SHARE = 0.1;
/** Time in which the other entries start. */
const START_MS = 4000;
const SETTLE_MS = 8000;
/** Age of the copy when the store goes away. */
const COPY_AGE_MS = 5000;
const AWAY_MS = 2600;
/** Changes per second of the operator and the servers together; the lost ones are written first. */
const CHANGES_PER_SECOND = 6;
const BEFORE_S = 4;
const AFTER_S = 25;
/** Time that the store takes for a call. */
const CALL_MS = 17;
const MARKER_KEY = "instances/marker";

async function main(): Promise<void> {
  const entryCount = Number(process.argv[2] ?? DEFAULT_ENTRIES);
  const serverCount = Number(process.argv[3] ?? DEFAULT_SERVERS);
  const store = await StandinPlatformStore.create();
  store.store.faults.slowMs = CALL_MS;
  for (let i = 0; i < serverCount; i++) await writeServer(store, i);
  const traffic = StoreTraffic.create(clock);
  const fleet = StoreReturnFleet.create({
    store,
    traffic,
    entryCount,
    heartbeatMs: HEARTBEAT_MS,
    seed: SEED,
  });
  const lateCount = Math.ceil(LATE_SHARE * entryCount);
  await startEntries(fleet, entryCount - lateCount, START_MS);
  await sleep(SETTLE_MS);
  const copy = store.copy();
  const lost = writeChanges(store, COPY_AGE_MS);
  await startEntries(fleet, lateCount, COPY_AGE_MS / 2);
  await lost;
  await store.restore(copy, { awayMs: AWAY_MS });
  const backAtMs = clock.nowMs();
  await store.put(MARKER_KEY, {});
  const written = writeChanges(store, AFTER_S * 1000);
  const lacking = new Map<number, number>();
  for (let second = 0; second < AFTER_S; second++) {
    await sleep(backAtMs + (second + 1) * 1000 - clock.nowMs());
    lacking.set(second, fleet.lacking(MARKER_KEY));
  }
  await written;
  console.log(HEAD.join(" | "));
  for (let second = -BEFORE_S; second < AFTER_S; second++) {
    const rows = traffic.between(backAtMs + second * 1000, 1000);
    console.log([second, ...cells(rows), lacking.get(second)].join(" | "));
  }
  await fleet.stop();
  await store.close();
}

const HEAD = [
  "second",
  ...Object.values(CallKind),
  "refused",
  "KB",
  "busiest entry",
  "lacking",
];

function cells(rows: Traffic[]): (string | number)[] {
  const { calls, refused, bytes } = sumTraffic(rows);
  const ofEntries = rows.map(({ calls }) =>
    Object.values(calls).reduce((sum, count) => sum + count, 0)
  );
  const kinds = Object.values(CallKind).map((kind) => calls[kind]);
  const kilobytes = (bytes / 1000).toFixed(0);
  return [...kinds, refused, kilobytes, Math.max(0, ...ofEntries)];
}

async function startEntries(
  fleet: StoreReturnFleet,
  count: number,
  withinMs: number,
): Promise<void> {
  for (let i = 0; i < count; i++) {
    await fleet.start();
    await sleep(withinMs / count);
  }
}

/** Writes changes of the operator and of servers, evenly spread. */
async function writeChanges(
  store: StandinPlatformStore,
  withinMs: number,
): Promise<void> {
  const count = Math.round(withinMs / 1000 * CHANGES_PER_SECOND);
  for (let i = 0; i < count; i++) {
    await sleep(1000 / CHANGES_PER_SECOND);
    await writeServer(store, i);
  }
}

/** Writes a registration of the usual size. */
function writeServer(
  store: StandinPlatformStore,
  index: number,
): Promise<void> {
  return store.put(`instances/i-${index}`, {
    service: "engines",
    address: `10.0.${index >> 8}.${index & 255}:8080`,
    zone: "zone-a",
    state: "serving",
    weights: { "model-a": 3 },
    writtenAtMs: clock.wallMs(),
  });
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
