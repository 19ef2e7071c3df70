/** Streams that clients take up after the processes of all entries were killed at once. */
import assert from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { test, type TestContext } from "node:test";
import {
  configWith,
  type EntryAddress,
  StandinBackendServer,
  StandinPlatformStore,
  writersOf,
} from "../standin/mod.ts";
import { startEntryProcess } from "./_entry_process.ts";
import { LONG_TIMEOUT_MS } from "./_long_timeout_kit.ts";
import {
  brokenOff,
  EVENTS,
  openStreams,
  readOriginRecords,
  takeUp,
} from "./_software_versions_kit.ts";
import { until } from "./_world.ts";

const ENTRIES: EntryAddress[] = [1, 2, 3].map((host) => ({
  ipAddress: `127.9.9.${host}`,
  clientPort: 23831,
}));
const EVENT_MS = 40;
const READ_EVENTS = 3;

type Broken = Awaited<ReturnType<typeof brokenOff>>;

interface Setup {
  store: StandinPlatformStore;
  startEngines(softwareVersion: string, ids: string[]): Promise<void>;
  startEntries(): Promise<void>;
  /** Streams at all entries, which their clients break off. */
  breakOff(): Promise<Broken[]>;
  killEntries(): Promise<void>;
  /** Takes up the streams of each entry at the next one. */
  takeUpElsewhere(broken: Broken[]): Promise<Attempts>;
}

type Attempts = {
  before: Broken[number];
  after: Awaited<ReturnType<typeof takeUp>>[number];
}[];

async function openSetup(t: TestContext): Promise<Setup> {
  const store = await StandinPlatformStore.create();
  t.after(() => store.close());
  const limits = { timeoutMs: LONG_TIMEOUT_MS, maxAttempts: 4 };
  await store.putConfig(configWith(1, limits));
  let processes: ChildProcess[] = [];
  return {
    store,
    startEngines: async (softwareVersion, ids) => {
      for (const id of ids) {
        const engine = await StandinBackendServer.create({
          id,
          model: "m",
          events: EVENTS,
          eventMs: EVENT_MS,
          softwareVersion,
        });
        t.after(() => engine.close());
        await store.put(`servers/${id}`, engine.entry("engines"));
      }
    },
    startEntries: async () => {
      processes = await Promise.all(
        ENTRIES.map((entry) => startEntryProcess(t, entry, store.address)),
      );
    },
    breakOff: async () => {
      const opened = await Promise.all(
        ENTRIES.map((entry, i) =>
          openStreams(entry, {
            prefix: `e${i}`,
            breakAfterEvents: READ_EVENTS,
          })
        ),
      );
      return await Promise.all(opened.map((streams) => brokenOff(streams)));
    },
    killEntries: async () => {
      const exits = processes.map((one) => once(one, "exit"));
      for (const one of processes) one.kill("SIGKILL");
      await Promise.all(exits);
    },
    takeUpElsewhere: async (broken) => {
      const taken = await Promise.all(broken.map(async (streams, i) => {
        const entry = ENTRIES[(i + 1) % ENTRIES.length]!;
        const attempts = await takeUp(entry, streams);
        return streams.map((before, k) => ({ before, after: attempts[k]! }));
      }));
      return taken.flat();
    },
  };
}

/** Waits until the store has the origins of all streams. */
async function untilRecorded(
  { store }: Setup,
  broken: Broken[],
): Promise<void> {
  await until(async () => {
    const text = await readOriginRecords(store);
    return broken.flat().every(({ id }) => text.includes(`"${id}"`));
  });
}

// Guards against refusing streams because all entries that knew their versions were killed.
test("streams go on at their versions after all entries were killed", async (t) => {
  const setup = await openSetup(t);
  await setup.startEngines("v1", ["i-1", "i-2"]);
  await setup.startEngines("v2", ["i-3", "i-4"]);
  await setup.startEntries();
  const broken = await setup.breakOff();
  const writers = broken.flat().map(({ events }) => writersOf(events)[0]);
  assert.equal(new Set(writers).size, 2);
  await untilRecorded(setup, broken);
  await setup.killEntries();
  await setup.startEntries();
  for (const { before, after } of await setup.takeUpElsewhere(broken)) {
    assert.equal(after.status, 200);
    const all = [...before.events, ...after.events];
    assert.equal(writersOf(all).length, 1);
    assert.equal(all.length, EVENTS);
    assert.ok(after.isComplete);
  }
});

// Guards against joining streams whose version was replaced while no entry ran.
test("streams aren't joined if their version was replaced after all entries were killed", async (t) => {
  const setup = await openSetup(t);
  await setup.startEngines("v1", ["i-1", "i-2"]);
  await setup.startEntries();
  const broken = await setup.breakOff();
  await setup.killEntries();
  for (const id of ["i-1", "i-2"]) await setup.store.delete(`servers/${id}`);
  await setup.startEngines("v2", ["i-3", "i-4"]);
  await setup.startEntries();
  for (const { after } of await setup.takeUpElsewhere(broken)) {
    assert.equal(after.status, 503);
  }
});
