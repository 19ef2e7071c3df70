// The configuration isolates a tenant, whose prompts the engines keep, while others ask with the same parts.
import { Client } from "../lib/client.mjs";
import { Engine } from "../lib/engine.mjs";
import { Balancer } from "../lib/entry.mjs";
import { hasTrouble, runCase, sleep } from "../lib/play.mjs";
import { configOf } from "../lib/worker.mjs";

const SERVICE = "groom-notes-llm";
const MODEL = "m0";
const CONFIG_MS = 2000;
const TIMEOUT_MS = 15_000;
const FIRST_MS = 60;
const PAUSE_MS = 100;
const PHASE_MS = 4000;
/** Time from the ack of the configuration to the next request: `config_ms`, and as much again. */
const SETTLE_MS = 2 * CONFIG_MS;
/** A part that both tenants' prompts begin with, as 512 tokens of the sheet's prompts are. */
const SHARED_PART = "5c1e07a2:512";
const TENANTS = [
  { name: "first", api_keys: ["key-of-first"] },
  { name: "second", api_keys: ["key-of-second"] },
];

await runCase({
  folder: import.meta.url,
  config: configFor({ version: 3, isIsolated: false }),
  createWorkers: async (at) => {
    const peers = new Map();
    const engines = ["i-1", "i-2", "i-3"].map((id) =>
      Engine.create({
        ...at,
        id,
        service: SERVICE,
        model: MODEL,
        firstMs: FIRST_MS,
        peers,
      })
    );
    return await Promise.all(engines);
  },
  play,
});

function configFor({ version, isIsolated }) {
  const tenants = TENANTS.map((tenant) => ({
    ...tenant,
    priority: 1,
    isolated: isIsolated && tenant.name === "first",
  }));
  return configOf({
    version,
    service: SERVICE,
    tenants,
    route: {
      kind: "streaming",
      timeout_ms: TIMEOUT_MS,
      target_latency_ms: 800,
      gap_target_ms: 500,
      max_attempts: 2,
      sticky_sessions: true,
      allow_resume: true,
    },
    fields: {
      max_connections: 360,
      engine: {
        slots: 64,
        kv_capacity_tokens: 281_389,
        kv_token_bytes: 18_432,
        link_mbps: 130_000,
        moves: true,
        backups: true,
        stride: 5,
        max_in_flight: 12,
        pin_ms: 4000,
        hold_ms: 2000,
        handle_s: 5,
        models: [{ name: MODEL }],
      },
    },
  });
}

async function play({ store, workers, entries, note, sinceStart }) {
  store.put(`op/version/${MODEL}`, { model: MODEL, version: 1 });
  const balancer = new Balancer(entries);
  const results = [];
  const ask = async (tenant) => {
    const clients = Array.from({ length: 4 }, (_, i) =>
      new Client({
        nextAddress: () => balancer.entryFor(i).frontAddress,
        pauseMs: PAUSE_MS,
        method: "POST",
        path: "/case/digest",
        headers: {
          "Host": "desk.example",
          "Deadline-Ms": TIMEOUT_MS,
          "Authorization": `Bearer key-of-${tenant}`,
          "Model": MODEL,
          "Token-Usage": "600,80",
          "Prompt-Prefix": `${SHARED_PART},${tenant === "first" ? 1 : 2}:88`,
        },
        body: "the history of a dog",
      }));
    await sleep(PHASE_MS);
    await Promise.all(clients.map((client) => client.stop()));
    results.push(...clients.flatMap((client) => client.results));
  };
  await ask("first");
  let isolatedFromMs = Infinity;
  if (hasTrouble) {
    store.put("op/config", configFor({ version: 7, isIsolated: true }));
    isolatedFromMs = Date.now() + CONFIG_MS;
    note(`version 7 is acknowledged; it isolates the tenant "first"`);
  }
  await sleep(SETTLE_MS);
  await ask("second");
  balancer.close();
  return judge({ workers, results, isolatedFromMs, note, sinceStart });
}

/** WALL: a run found parts of a run of another tenant, and one of the two is isolated. */
function judge({ workers, results, isolatedFromMs, note, sinceStart }) {
  const sent = new Map(results.map((result) => [result.id, result]));
  const counts = {};
  for (const { kind, status } of results) {
    const how = `${kind} ${status}`;
    counts[how] = (counts[how] ?? 0) + 1;
  }
  let broken = 0;
  const runs = workers.flatMap((worker) => worker.runs);
  for (const run of runs.sort((a, b) => a.beganAtMs - b.beganAtMs)) {
    const { id, worker, tenant, salt, found, beganAtMs } = run;
    const isBound = sent.get(id).sentAtMs >= isolatedFromMs;
    const foreign = found.filter(({ maker }) => maker.tenant !== tenant);
    const isBroken = isBound && foreign.length > 0;
    if (isBroken) broken++;
    const from = foreign.map(({ part, maker }) =>
      `${part} made by ${maker.id} of ${maker.tenant}`
    );
    note(
      `${id} of ${tenant} began at ${sinceStart(beganAtMs)} on ${worker}, ` +
        `salt ${salt}, found ${found.length} parts` +
        (from.length > 0 ? `; ${from.join(", ")}` : "") +
        (isBroken ? ": WALL" : ""),
    );
  }
  note(
    `requests: ${JSON.stringify(counts)}; run: ${runs.length}; ` +
      `WALL: ${broken}`,
  );
  return broken > 0 ? 1 : 0;
}
