/**
 * Benchmarks claims on an in-memory store with a latency of 3 ms. Prints one line of JSON for each
 * shard count and claim rate. Run it with `node --import tsx src/journal/_bench.ts`.
 */
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import { createSilentLogger } from "../base/mod.ts";
import { MemoryStore } from "../store/mod.ts";
import { digestKey, SHARD_COUNT, shardOf } from "./shard_hash.ts";
import { StoreClaimsJournal } from "./store_claims_journal.ts";

const STORE_LATENCY_MS = 3;
const CALL_DURATION_MS = 50;
const POLL_INTERVAL_MS = 5;
const MEASUREMENT_MS = 10_000;
const WARM_UP_MS = 300;
const CLAIM_RATES = [1, 10, 100, 1000];
const SETTINGS = {
  retryWindowMs: 600_000,
  timeoutMs: 10_000,
  whenStoreDown: "refuse" as const,
};

interface Load {
  claimsPerSecond: number;
  shards: number;
}

for (const shards of [1, SHARD_COUNT]) {
  for (const claimsPerSecond of CLAIM_RATES) {
    const figures = await measure({ claimsPerSecond, shards });
    console.log(JSON.stringify(figures));
  }
}

async function measure(load: Load): Promise<object> {
  const store = MemoryStore.create();
  const journal = StoreClaimsJournal.create({
    store,
    address: "10.0.0.1:1",
    agentIncarnation: randomUUID(),
    log: createSilentLogger(),
    maxClaimsPerShard: 100_000,
  });
  const keyForShard = createKeyGenerator(load.shards);
  for (let shard = 0; shard < load.shards; shard++) {
    await claim(journal, keyForShard(shard));
  }
  store.faults.slowMs = STORE_LATENCY_MS;
  await delay(WARM_UP_MS);
  const before = { ...store.counters };
  const cpuBefore = process.cpuUsage();
  const latencies = build({ lowestDiscernibleValue: 1 });
  const claims = await generateLoad(load, async (n) => {
    const startMs = performance.now();
    await claim(journal, keyForShard(n));
    latencies.recordValue(Math.round((performance.now() - startMs) * 1000));
  });
  const cpu = process.cpuUsage(cpuBefore);
  const commits = store.counters.writes - before.writes;
  const bytes = store.counters.bytes - before.bytes;
  await journal.close();
  store.close();
  return {
    ...load,
    claims,
    commitsPerClaim: round(commits / claims),
    commitsPerSecond: round(commits * 1000 / MEASUREMENT_MS),
    bytesPerClaim: Math.round(bytes / claims),
    p50Ms: latencies.getValueAtPercentile(50) / 1000,
    p99Ms: latencies.getValueAtPercentile(99) / 1000,
    cpuUsPerClaim: Math.round((cpu.user + cpu.system) / claims),
  };
}

async function generateLoad(
  { claimsPerSecond }: Load,
  sendClaim: (n: number) => Promise<void>,
): Promise<number> {
  const startMs = performance.now();
  const pending: Promise<void>[] = [];
  let elapsedMs = 0;
  while (elapsedMs < MEASUREMENT_MS) {
    const due = Math.floor(elapsedMs * claimsPerSecond / 1000) + 1;
    while (pending.length < due) pending.push(sendClaim(pending.length));
    await delay(POLL_INTERVAL_MS);
    elapsedMs = performance.now() - startMs;
  }
  await Promise.all(pending);
  return pending.length;
}

async function claim(
  journal: StoreClaimsJournal,
  keyDigest: Uint8Array,
): Promise<void> {
  const result = await journal.claim({
    team: "t",
    service: "s",
    keyDigest,
    fingerprint: keyDigest,
    runId: randomUUID(),
    settings: SETTINGS,
  });
  const answer = result.unwrapOr(undefined);
  if (answer?.kind !== "granted") throw new Error(`Claim failed: ${result}`);
  answer.ticket.begin();
  const end = () => answer.ticket.end({ kind: "done", status: 200 });
  setTimeout(end, CALL_DURATION_MS);
}

/** Creates a function that returns an unused key digest in shard `n % shards`. */
function createKeyGenerator(shards: number): (n: number) => Uint8Array {
  let nextNumber = 0;
  return (n) => {
    for (;;) {
      const idempotencyKey = `k${nextNumber++}`;
      const key = digestKey({
        team: "t",
        workspace: "w",
        service: "s",
        idempotencyKey,
      });
      if (shardOf(key) === n % shards) return key;
    }
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
