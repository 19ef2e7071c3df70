/** World whose store comes back from an older copy, and what its entries know afterwards. */
import assert from "node:assert/strict";
import type { TestContext } from "node:test";
import { seededRandom } from "../base/random.ts";
import {
  CONFIG,
  sendClientRequest,
  StandinBackendServer,
} from "../standin/mod.ts";
import {
  openWorld,
  stateContains,
  type TestEntry,
  until,
  type World,
} from "./_world.ts";

const SEED = 20_261_204;
/** How long the store is away. */
export const AWAY_MS = 400;
/** Polls of 5 ms or more for a condition that a fault would keep from ever becoming true. */
const MAX_POLLS = 1000;
const POLL_MS = 5;
/** Requests that {@link countRequestsTo} sends to each entry. */
export const REQUESTS_PER_ENTRY = 15;

/** What happened to the store's revisions before the changes that the entries must learn of. */
export interface Rewind {
  /** Revisions that the copy lacks. */
  lost: number;
  /** Revisions that were given out again. */
  reissued: number;
}

/** Ids of the servers that write their registrations all the time. */
export const STAYING = ["i-3", "i-4"];

/** A world with four servers, two of which write their registrations all the time. */
export interface RestoredWorld extends World {
  /** Entries that reach the store. */
  inTouch: TestEntry[];
  /** Writes registrations anew. */
  write(count: number): Promise<void>;
}

/** Opens a world with four servers; all entries know of them, and of each other. */
export async function openFilledWorld(
  t: TestContext,
  entryCount = 3,
): Promise<RestoredWorld> {
  const world = await openWorld(t, { entryCount });
  for (const id of ["i-1", "i-2", ...STAYING]) await world.worker(id);
  const random = seededRandom(SEED);
  const write = async (count: number) => {
    for (let i = 0; i < count; i++) {
      const id = STAYING[Math.floor(random() * STAYING.length)]!;
      await register(world, id, { slots: 1 + Math.floor(random() * 8) });
    }
  };
  await until(() =>
    world.entries.every((entry) =>
      knows(entry, "i-4") && stateContains(entry, `"entries":${entryCount}`)
    )
  );
  return { ...world, inTouch: [...world.entries], write };
}

/** Settings of {@link openRestoredWorld}. */
export interface RestoreOptions {
  isThirdCutOff?: boolean;
  /** Makes changes that all entries see, and that the store then loses. */
  sinceCopy?: (world: RestoredWorld) => Promise<void>;
}

/** Opens a world whose store came back from a copy. */
export async function openRestoredWorld(
  t: TestContext,
  { lost, reissued }: Rewind,
  { isThirdCutOff = false, sinceCopy }: RestoreOptions = {},
): Promise<RestoredWorld> {
  const world = await openFilledWorld(t);
  const copy = world.store.copy();
  await sinceCopy?.(world);
  await world.write(lost - 1);
  await mark(world, "lost");
  await until(() => world.entries.every((entry) => isMarked(entry, "lost")));
  if (isThirdCutOff) {
    world.entries[2]!.link.down();
    world.inTouch = world.entries.slice(0, 2);
  }
  await world.store.restore(copy, { awayMs: AWAY_MS });
  await world.write(reissued);
  return world;
}

/** Writes a server's registration as it is, apart from `fields`. */
export async function register(
  { store, workers }: World,
  id: string,
  fields: object = {},
): Promise<void> {
  const worker = workers.find((worker) => worker.id === id);
  assert.ok(worker);
  await store.put(`servers/${id}`, worker.entry("plain", fields));
}

/** Registers a server of a service without requests, under a version that an entry's state shows. */
export async function mark(
  { store, workers }: World,
  name: string,
): Promise<void> {
  const entry = workers[0]!.entry("unused", { version: `mark-${name}` });
  await store.put("servers/i-mark", entry);
}

/** @returns Whether the entry has seen a {@link mark}. */
export function isMarked(entry: TestEntry, name: string): boolean {
  return stateContains(entry, `"mark-${name}"`);
}

/** Starts and registers a new server, without waiting for an entry to know it. */
export async function join(
  world: World,
  id: string,
): Promise<StandinBackendServer> {
  const made = await StandinBackendServer.create({ id });
  world.workers.push(made);
  await register(world, id);
  return made;
}

/** Marks one server as leaving, removes one, adds one, and publishes a configuration. */
export async function changeAll(world: World): Promise<void> {
  await register(world, "i-1", { state: "draining" });
  await world.store.delete("servers/i-2");
  await join(world, "i-5");
  await world.store.putConfig({ ...CONFIG, version: 2 });
}

/** @returns Whether the entry knows a server. */
export function knows(entry: TestEntry, id: string): boolean {
  return stateContains(entry, `"id":"${id}"`);
}

/** @returns Whether the entry knows that a server is leaving. */
export function isLeaving(entry: TestEntry, id: string): boolean {
  const { servers } = entry.router.state() as {
    servers: { id: string; leaving: boolean }[];
  };
  return servers.some((server) => server.id === id && server.leaving);
}

/** @returns Whether the condition became true within many polls. */
export async function becomes(check: () => boolean): Promise<boolean> {
  for (let i = 0; i < MAX_POLLS; i++) {
    if (check()) return true;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return false;
}

/** Sends requests to the entries, and counts those that reach a server. */
export async function countRequestsTo(
  id: string,
  { workers }: World,
  entries: TestEntry[],
): Promise<number> {
  const worker = workers.find((worker) => worker.id === id);
  assert.ok(worker);
  worker.runs.length = 0;
  for (let i = 0; i < REQUESTS_PER_ENTRY; i++) {
    const asked = entries.map((entry) => sendClientRequest(entry, "/book/a"));
    for (const { status, body } of await Promise.all(asked)) {
      assert.equal(status, 200, body);
    }
  }
  return worker.runs.length;
}
