// An entry gets SIGTERM, and once more within its grace, while clients use it.
import { Client } from "../../lib/client.mjs";
import { Balancer } from "../../lib/entry.mjs";
import { hasTrouble, runCase, sleep } from "../../lib/play.mjs";
import { configOf, Worker } from "../../lib/worker.mjs";

const SERVICE = "salon-desk";
const CLIENTS = 14;
/** On the sheet a request takes 85.7 ms on average; the site file has 450 ms as the most. */
const WORK_MS = 300;
const PAUSE_MS = 40;
const DEADLINE_MS = 4000;
const TIMEOUT_MS = 2000;
const GRACE_MS = 8000;
/** Time between the two signals. */
const AGAIN_MS = 500;
const CALM_MS = 6000;

await runCase({
  folder: import.meta.url,
  config: configOf({
    service: SERVICE,
    route: {
      kind: "unsafe",
      timeout_ms: TIMEOUT_MS,
      target_latency_ms: 386,
    },
  }),
  createWorkers: (at) =>
    Promise.all(
      ["i-1", "i-2", "i-3"].map((id) =>
        Worker.create({ ...at, id, service: SERVICE, workMs: WORK_MS })
      ),
    ),
  play,
});

async function play({ workers, entries, note, sinceStart }) {
  const [first] = entries;
  const balancer = new Balancer(entries);
  const clients = Array.from({ length: CLIENTS }, (_, i) =>
    new Client({
      nextAddress: () => balancer.entryFor(i).frontAddress,
      pauseMs: PAUSE_MS,
      method: "POST",
      path: "/case/book",
      headers: { Host: "desk.example", "Deadline-Ms": DEADLINE_MS },
      body: "book a slot",
    }));
  await sleep(CALM_MS);
  const termAtMs = Date.now();
  note(`SIGTERM to ${first.name}, pid ${first.pid}`);
  first.child.kill("SIGTERM");
  await sleep(AGAIN_MS);
  if (hasTrouble) {
    note(`SIGTERM to ${first.name} again`);
    first.child.kill("SIGTERM");
  }
  await sleep(GRACE_MS - AGAIN_MS);
  if (!first.hasEnded) {
    note(`SIGKILL to ${first.name}, as its grace is over`);
    first.child.kill("SIGKILL");
  }
  await sleep(1000);
  await Promise.all(clients.map((client) => client.stop()));
  balancer.close();
  const results = clients.flatMap((client) => client.results);
  return judge(results, { workers, first, termAtMs, note, sinceStart });
}

/** LOST: a request around the SIGTERM was passed on, and its channel ended without an answer. */
function judge(results, { workers, first, termAtMs, note, sinceStart }) {
  const runs = new Map(
    workers.flatMap((worker) => worker.runs).map((run) => [run.id, run]),
  );
  const counts = {};
  let lost = 0;
  for (const result of results.sort((a, b) => a.sentAtMs - b.sentAtMs)) {
    const { id, kind, status, sentAtMs, endedAtMs, address } = result;
    const how = kind === "answered" ? `answered ${status}` : kind;
    counts[how] = (counts[how] ?? 0) + 1;
    const run = runs.get(id);
    const isCut = kind === "closed" || kind === "cut";
    const isAround = address === first.frontAddress &&
      endedAtMs >= termAtMs && endedAtMs <= termAtMs + GRACE_MS + 1000;
    const hasTime = endedAtMs - sentAtMs < TIMEOUT_MS;
    const isLost = isCut && run !== undefined && isAround && hasTime;
    if (isLost) lost++;
    note(
      `${id} sent to ${address} at ${sinceStart(sentAtMs)}: ${how} at ` +
        `${sinceStart(endedAtMs)}, ` +
        (run
          ? `${run.worker} began it at ${sinceStart(run.beganAtMs)}`
          : "not run") +
        (isLost ? ": LOST" : ""),
    );
  }
  note(`requests: ${JSON.stringify(counts)}; run: ${runs.size}; LOST: ${lost}`);
  return lost > 0 ? 1 : 0;
}
