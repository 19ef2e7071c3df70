// Configurations come in quick succession, and the platform ends processes that exceed their memory.
import { readFileSync } from "node:fs";
import { Client } from "../../lib/client.mjs";
import { Balancer } from "../../lib/entry.mjs";
import { hasTrouble, runCase, sleep } from "../../lib/play.mjs";
import { configOf, Worker } from "../../lib/worker.mjs";

const SERVICE = "field-app";
const CLIENTS = 27;
const WORK_MS = 86;
const PAUSE_MS = 20;
const DEADLINE_MS = 1500;
const TIMEOUT_MS = 1500;
const CALM_MS = 3000;
/** Of an edge machine, by the sheet. */
const MEMORY_MB = 200;
const MEMORY_CHECK_MS = 50;
/** The site file has both: `big_config` with `count = 350`, `config_storm` with `for_s` and `gap_s`. */
const ADDED_ROUTES = 350;
const ADDITIONS = 5;
const STORM_MS = 4000;
const GAP_MS = 330;
const MAX_STORMS = 20;
const AFTER_MS = 2000;

await runCase({
  folder: import.meta.url,
  bounds: { version_ms: 15_000, require_fencing: false, budget_slack: 58 },
  config: configFor(3, 0),
  createWorkers: (at) =>
    Promise.all(
      ["i-1", "i-2", "i-3", "i-4"].map((id) =>
        Worker.create({ ...at, id, service: SERVICE, workMs: WORK_MS })
      ),
    ),
  play,
});

function configFor(version, addedCount) {
  const config = configOf({
    version,
    service: SERVICE,
    route: {
      kind: "unsafe",
      timeout_ms: TIMEOUT_MS,
      target_latency_ms: 386,
    },
  });
  for (let i = 0; i < addedCount; i++) {
    config.routes.push({
      name: `r-added${i}`,
      host: `hulo${i % 50}.example`,
      prefix: `/xapu${i}/ny${i % 97}/`,
      kind: "unsafe",
      timeout_ms: TIMEOUT_MS,
      target_latency_ms: 386,
      priority: 2,
      traffic_split: [
        { service: SERVICE, weight: 90 },
        { service: "kafi81c", weight: 10 },
      ],
      max_attempts: 1,
      allow_anonymous: false,
      sticky_sessions: false,
      allow_resume: false,
      gap_target_ms: 300,
    });
  }
  return config;
}

async function play({ store, workers, entries, note, sinceStart }) {
  const ends = watchMemory(entries, note);
  const balancer = new Balancer(entries);
  const clients = Array.from({ length: CLIENTS }, (_, i) =>
    new Client({
      nextAddress: () => balancer.entryFor(i).frontAddress,
      pauseMs: PAUSE_MS,
      method: "POST",
      path: "/case/book",
      headers: { Host: "desk.example", "Deadline-Ms": DEADLINE_MS },
      body: "book a visit",
    }));
  await sleep(CALM_MS);
  let version = 3;
  const change = async (addedCount) => {
    version += 2;
    if (hasTrouble) store.put("op/config", configFor(version, addedCount));
    await sleep(GAP_MS);
  };
  for (let i = 1; i <= ADDITIONS; i++) {
    await change(i * ADDED_ROUTES);
    note(`version ${version} has ${i * ADDED_ROUTES} routes more`);
  }
  for (let i = 1; i <= MAX_STORMS && ends.length === 0; i++) {
    for (let ms = 0; ms < STORM_MS && ends.length === 0; ms += GAP_MS) {
      await change(ADDITIONS * ADDED_ROUTES);
    }
    const memory = entries.map((entry) => Math.round(memoryMb(entry)));
    note(`storm ${i} ended with version ${version}; MB: ${memory.join(", ")}`);
  }
  await sleep(AFTER_MS);
  await Promise.all(clients.map((client) => client.stop()));
  balancer.close();
  const results = clients.flatMap((client) => client.results);
  return judge(results, { workers, ends, note, sinceStart });
}

function memoryMb({ pid }) {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(status.match(/VmRSS:\s+(\d+)/)[1]) / 1024;
  } catch {
    return 0;
  }
}

/** Ends processes that exceed their memory, as the platform does. */
function watchMemory(entries, note) {
  const ends = [];
  const timer = setInterval(() => {
    for (const entry of entries) {
      const mb = memoryMb(entry);
      if (entry.hasEnded || mb <= MEMORY_MB) continue;
      if (ends.some((end) => end.entry === entry)) continue;
      note(`${entry.name} has ${Math.round(mb)} MB and is ended`);
      ends.push({ entry, atMs: Date.now() });
      entry.child.kill("SIGKILL");
    }
  }, MEMORY_CHECK_MS);
  timer.unref();
  return ends;
}

/** LOST: passed on to a sound worker, and the channel closed without an answer, more than three times. */
function judge(results, { workers, ends, note, sinceStart }) {
  const runs = new Map(
    workers.flatMap((worker) => worker.runs).map((run) => [run.id, run]),
  );
  const counts = {};
  let lost = 0;
  for (const result of results) {
    const { id, kind, status, address, sentAtMs, endedAtMs } = result;
    const how = kind === "answered" ? `answered ${status}` : kind;
    counts[how] = (counts[how] ?? 0) + 1;
    const run = runs.get(id);
    if ((kind !== "closed" && kind !== "cut") || !run) continue;
    lost++;
    note(
      `${id} sent to ${address} at ${sinceStart(sentAtMs)}: ${how} at ` +
        `${sinceStart(endedAtMs)}, ${run.worker} began it at ` +
        `${sinceStart(run.beganAtMs)}: LOST`,
    );
  }
  note(
    `requests: ${JSON.stringify(counts)}; run: ${runs.size}; ` +
      `processes over their memory: ${ends.length}; LOST: ${lost}`,
  );
  return lost > 3 ? 1 : 0;
}
