// An entry is killed while it relays streams that have no length and end with their channel.
import { Client } from "../lib/client.mjs";
import { Balancer } from "../lib/entry.mjs";
import { hasTrouble, runCase, sleep } from "../lib/play.mjs";
import { StreamWorker } from "../lib/stream_worker.mjs";
import { configOf } from "../lib/worker.mjs";

const SERVICE = "groom-notes-llm";
const CLIENTS = 14;
/** The sheet's mean is 76 pieces; 20 keep the record short. */
const PIECES = 20;
const PIECE_MS = 100;
const PAUSE_MS = 40;
const TIMEOUT_MS = 15_000;
const CALM_MS = 6000;
const AFTER_MS = 6000;

await runCase({
  folder: import.meta.url,
  config: configOf({
    service: SERVICE,
    route: {
      kind: "streaming",
      timeout_ms: TIMEOUT_MS,
      target_latency_ms: 800,
      gap_target_ms: 500,
      allow_resume: false,
    },
  }),
  createWorkers: (at) =>
    Promise.all(
      ["i-1", "i-2", "i-3"].map((id) =>
        StreamWorker.create({
          ...at,
          id,
          service: SERVICE,
          pieceCount: PIECES,
          pieceMs: PIECE_MS,
        })
      ),
    ),
  play,
});

async function play({ workers, entries, note, sinceStart }) {
  const balancer = new Balancer(entries);
  const clients = Array.from({ length: CLIENTS }, (_, i) =>
    new Client({
      nextAddress: () => balancer.entryFor(i).frontAddress,
      pauseMs: PAUSE_MS,
      method: "POST",
      path: "/case/digest",
      headers: { Host: "desk.example", "Deadline-Ms": TIMEOUT_MS },
      body: "the history of a dog",
    }));
  await sleep(CALM_MS);
  if (hasTrouble) {
    const [first] = entries;
    note(`SIGKILL to ${first.name}, pid ${first.pid}`);
    first.child.kill("SIGKILL");
  }
  await sleep(AFTER_MS);
  await Promise.all(clients.map((client) => client.stop()));
  balancer.close();
  const results = clients.flatMap((client) => client.results);
  return judge(results, { workers, note, sinceStart });
}

/** MIXED: a success that looks complete and isn't the worker's whole body. */
function judge(results, { workers, note, sinceStart }) {
  const runs = new Map(
    workers.flatMap((worker) => worker.runs).map((run) => [run.id, run]),
  );
  const counts = {};
  let mixed = 0;
  for (const result of results.sort((a, b) => a.sentAtMs - b.sentAtMs)) {
    const { id, address, kind, status, seal, text, sentAtMs } = result;
    const how = kind === "answered" ? `answered ${status}, complete` : kind;
    counts[how] = (counts[how] ?? 0) + 1;
    const run = runs.get(id);
    const isSuccess = kind === "answered" && status === 200;
    const isWhole = run?.isWhole && text === run.pieces &&
      seal === `seal-${id}`;
    const isMixed = isSuccess && !isWhole;
    if (isMixed) mixed++;
    const got = text?.match(/^id:/gm)?.length ?? 0;
    note(
      `${id} sent to ${address} at ${sinceStart(sentAtMs)}: ${how} at ` +
        `${sinceStart(result.endedAtMs)}, seal ${seal}, ${got} of ${PIECES} ` +
        `pieces, ${run ? `run by ${run.worker}` : "not run"}` +
        (isMixed ? ": MIXED" : ""),
    );
  }
  note(
    `requests: ${JSON.stringify(counts)}; run: ${runs.size}; MIXED: ${mixed}`,
  );
  return mixed > 0 ? 1 : 0;
}
