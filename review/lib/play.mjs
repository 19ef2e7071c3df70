// Runs the play of a case with a store, workers and entries, and writes its record.
import { writeFileSync } from "node:fs";
import { startEntries, untilReady } from "./entry.mjs";
import { Store } from "./store.mjs";

/** Addresses of the entries, and of the store and the workers. */
const ENTRY_IPS = ["127.0.1.1", "127.0.1.2"];
const OTHER_IP = "127.0.1.10";
const ZONE = "hall-1";
/** A play that takes longer can't run. */
const MAX_MS = 110_000;

/** Whether the disruption is played. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** @returns A promise that resolves after a time. */
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Exits with what `play` returns: 1 if the rule was broken, 0 if it held; 2 if the case couldn't run.
 *
 * @param options Folder of the case, its configuration, its workers, bounds that differ, and the play.
 */
export async function runCase({ folder, config, createWorkers, bounds, play }) {
  const startedAtMs = Date.now();
  const record = [];
  const sinceStart = (atMs) => `${atMs - startedAtMs} ms`;
  const note = (text) => record.push(`${sinceStart(Date.now())}: ${text}`);
  const workers = [];
  const entries = [];
  let store;
  const finish = (code) => {
    for (const { child } of entries) child.kill("SIGKILL");
    for (const worker of workers) worker.close();
    store?.close();
    writeFileSync(new URL("record.txt", folder), record.join("\n") + "\n");
    process.exit(code);
  };
  const give = (reason) => {
    note(`could not run: ${reason}`);
    finish(2);
  };
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.once(signal, () => give(signal));
  }
  setTimeout(() => give("it took too long"), MAX_MS).unref();
  try {
    note(hasTrouble ? "with the disruption" : "without the disruption");
    store = await Store.create(OTHER_IP);
    workers.push(...await createWorkers({ ipAddress: OTHER_IP, zone: ZONE }));
    store.put("op/config", config);
    for (const worker of workers) {
      store.put(`servers/${worker.id}`, worker.registration);
    }
    entries.push(
      ...await startEntries({
        ipAddresses: ENTRY_IPS,
        storeAddress: store.address,
        zone: ZONE,
        bounds,
      }),
    );
    for (const entry of entries) {
      entry.ended.then(({ code, signal }) =>
        note(`${entry.name} ended: code ${code}, signal ${signal}`)
      );
    }
    await Promise.all(entries.map((entry) => untilReady(entry)));
    note("the entries are ready");
    finish(await play({ store, workers, entries, note, sinceStart }));
  } catch (error) {
    give(error.stack);
  }
}
