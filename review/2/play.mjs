// Workers break answers without a length off with a reset, while the entry still sends them a long body.
import { Client } from "../lib/client.mjs";
import { Balancer } from "../lib/entry.mjs";
import { hasTrouble, runCase, sleep } from "../lib/play.mjs";
import { ResettingWorker } from "../lib/resetting_worker.mjs";
import { configOf } from "../lib/worker.mjs";

const SERVICE = "salon-desk";
const CLIENTS = 14;
/** `max_body_bytes` of the site's configuration. */
const BODY_BYTES = 4_194_304;
const WORK_MS = 60;
const PAUSE_MS = 100;
const DEADLINE_MS = 4000;
const TIMEOUT_MS = 2000;
const PLAY_MS = 90_000;
/** Share of their answers that the faulty workers break off; half of the workers are faulty. */
const CUT_SHARE = 0.05;
const FAULTY = new Set(["i-1", "i-2"]);

await runCase({
  folder: import.meta.url,
  config: configOf({
    service: SERVICE,
    route: { kind: "unsafe", timeout_ms: TIMEOUT_MS, target_latency_ms: 386 },
  }),
  createWorkers: (at) =>
    Promise.all(
      ["i-1", "i-2", "i-3", "i-4"].map((id) =>
        ResettingWorker.create({
          ...at,
          id,
          service: SERVICE,
          workMs: WORK_MS,
          cuts: () => hasTrouble && FAULTY.has(id) && Math.random() < CUT_SHARE,
        })
      ),
    ),
  play,
});

async function play({ workers, entries, note, sinceStart }) {
  const balancer = new Balancer(entries);
  const body = Buffer.alloc(BODY_BYTES, "b");
  const clients = Array.from({ length: CLIENTS }, (_, i) =>
    new Client({
      nextAddress: () => balancer.entryFor(i).frontAddress,
      pauseMs: PAUSE_MS,
      method: "POST",
      path: "/case/book",
      headers: { Host: "desk.example", "Deadline-Ms": DEADLINE_MS },
      body,
    }));
  await sleep(PLAY_MS);
  await Promise.all(clients.map((client) => client.stop()));
  balancer.close();
  const results = clients.flatMap((client) => client.results);
  const runs = new Map(
    workers.flatMap((worker) => worker.runs).map((run) => [run.id, run]),
  );
  const counts = {};
  let mixed = 0;
  for (const result of results.sort((a, b) => a.sentAtMs - b.sentAtMs)) {
    const { id, address, kind, status, text, sentAtMs, endedAtMs } = result;
    const run = runs.get(id);
    const how = `${kind} ${status ?? ""}${run?.isCut ? ", broken off" : ""}`;
    counts[how] = (counts[how] ?? 0) + 1;
    const isSuccess = kind === "answered" && status === 200;
    const isMixed = isSuccess && text !== run?.body;
    if (isMixed) mixed++;
    note(
      `${id} sent to ${address} at ${sinceStart(sentAtMs)}: ${kind} ` +
        `${status ?? ""} at ${sinceStart(endedAtMs)}, ${
          text?.length ?? 0
        } of ` +
        `${run?.body.length ?? 0} bytes, ` +
        (run ? `run by ${run.worker}` : "not run") +
        (run?.isCut ? ", which broke its answer off" : "") +
        (isMixed ? ": MIXED" : ""),
    );
  }
  note(
    `requests: ${JSON.stringify(counts)}; run: ${runs.size}; MIXED: ${mixed}`,
  );
  return mixed > 0 ? 1 : 0;
}
