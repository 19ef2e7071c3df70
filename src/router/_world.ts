/** Routers with a stand-in of the platform's store and of its backend servers, for tests. */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import process from "node:process";
import type { TestContext } from "node:test";
import { type Clock, type Logger, systemClock } from "../base/mod.ts";
import {
  CONFIG,
  readiness,
  StandinPlatformStore,
  StandinPlatformWorker,
  type StandinPlatformWorkerOptions,
  TcpRelay,
} from "../standin/mod.ts";
import { silentLog } from "./_kit.ts";
import { ChoiceName } from "./choose.ts";
import { Router } from "./router.ts";

/** One router process, and the link between it and the store. */
export interface TestEntry {
  name: string;
  router: Router;
  link: TcpRelay;
  /** The entry's clock; a test may move it. */
  clock: SkewedClock;
  ipAddress: string;
  clientPort: number;
  readinessPort: number;
  /** Where it serves other entries. */
  controlPort: number;
  peerPort: number;
}

/** A store, entries and backend servers, all in this process. */
export interface World extends TestEntry {
  store: StandinPlatformStore;
  /** The first one's fields are the world's own, too. */
  entries: TestEntry[];
  /** In the order in which they were made. */
  workers: StandinPlatformWorker[];
  /** Makes a server and waits until the first entry knows it. */
  worker(
    id: string,
    options?: Partial<StandinPlatformWorkerOptions>,
  ): Promise<StandinPlatformWorker>;
  engine(id: string): Promise<StandinPlatformWorker>;
  /** Starts an entry anew that was stopped. */
  restart(entry: TestEntry): Promise<TestEntry>;
}

/** The machine's clock, moved forward by a test, or stopped. */
export class SkewedClock implements Clock {
  aheadMs = 0;
  #stoppedMs: number | undefined;

  nowMs = (): number => this.#stoppedMs ?? systemClock.nowMs() + this.aheadMs;
  wallMs = (): number => systemClock.wallMs() + this.aheadMs;
  sleep = systemClock.sleep;

  /** From now on its monotonic time stands still. */
  stop(): void {
    this.#stoppedMs = this.nowMs();
  }
}

/** As the platform sets it. */
const HEARTBEAT_MS = 1200;

/** Settings of a {@link World}. */
export interface WorldOptions {
  entryCount?: number;
  /** Holders of the lease may not take turns within this time. */
  orderTurnMs?: number;
  /** Answers may not begin on weights that were replaced this long ago. */
  weightsBoundMs?: number;
  /** IP numbers in the settings at which no entry lives. */
  staleSeeds?: string[];
  /** Left out: nothing is logged. */
  log?: Logger;
}

/**
 * @param t The test; its end stops everything.
 * @param options How many entries.
 * @returns A world whose entries are ready.
 */
export async function openWorld(
  t: TestContext,
  options: WorldOptions = {},
): Promise<World> {
  const world = await openBareWorld(t, options);
  await world.store.configure(CONFIG);
  for (const { ipAddress, readinessPort } of world.entries) {
    await until(async () => await readiness(readinessPort, ipAddress) === 200);
  }
  return world;
}

/**
 * @param t The test; its end stops everything.
 * @param options How many entries.
 * @returns A world whose store is empty.
 */
export async function openBareWorld(
  t: TestContext,
  {
    entryCount = 1,
    orderTurnMs = 0,
    weightsBoundMs = 10_000,
    staleSeeds = [],
    log = silentLog,
  }: WorldOptions = {},
): Promise<World> {
  const store = await StandinPlatformStore.create();
  const entries: TestEntry[] = [];
  const links: TcpRelay[] = [];
  const workers: StandinPlatformWorker[] = [];
  // Before anything else can fail: what is left open keeps the test's process from ending.
  t.after(async () => {
    for (const { router } of entries) await router.stop();
    for (const link of links) await link.close();
    for (const made of workers) await made.close();
    await store.close();
  });
  const ports = {
    control: await freePort(),
    peer: await freePort(),
    client: await freePort(),
    readiness: await freePort(),
  };
  const ipAddresses = Array.from(
    { length: entryCount },
    (_, i) => `127.0.0.${i + 1}`,
  );
  const start = (entry: Omit<TestEntry, "router">): Promise<Router> => {
    const { name, link, clock, ipAddress } = entry;
    const [linkHost = "", linkPort] = link.address.split(":");
    const at = (port: number) => ({ ipAddress, port });
    return Router.create({
      log,
      clock,
      settings: {
        instance: name,
        zone: "a",
        ipAddress,
        clientAddress: at(ports.client),
        readinessAddress: at(ports.readiness),
        controlAddress: at(ports.control),
        peerPort: ports.peer,
        seedAddresses: [...ipAddresses, ...staleSeeds].map((ipAddress) => ({
          ipAddress,
          port: ports.peer,
        })),
        storeAddress: { ipAddress: linkHost, port: Number(linkPort) },
        graceMs: 2000,
        orderTurnMs,
        weightsBoundMs,
        heartbeatMs: HEARTBEAT_MS,
        enginesCheckFences: true,
        resendLimits: { ratio: 0.2, slack: 54, windowMs: 10_000 },
        logLevel: "silent",
        choice: ChoiceName.cost,
      },
    });
  };
  for (const ipAddress of ipAddresses) {
    const link = await TcpRelay.create({ targetAddress: store.address });
    links.push(link);
    const clock = new SkewedClock();
    const entry = {
      name: `entry-${entries.length + 1}`,
      link,
      clock,
      ipAddress,
      clientPort: ports.client,
      readinessPort: ports.readiness,
      controlPort: ports.control,
      peerPort: ports.peer,
    };
    entries.push({ ...entry, router: await start(entry) });
  }
  const [first] = entries;
  assert.ok(first);
  const worker: World["worker"] = async (id, options = {}) => {
    const made = await StandinPlatformWorker.create({ id, ...options });
    workers.push(made);
    const service = options.model ? "engines" : "plain";
    await store.put(`servers/${id}`, made.entry(service));
    await until(() => knows(first, id));
    return made;
  };
  const engine = (id: string) => worker(id, { model: "m" });
  const restart = async (entry: TestEntry) => {
    const again = { ...entry, router: await start(entry) };
    entries.push(again);
    return again;
  };
  return { ...first, store, entries, workers, worker, engine, restart };
}

/**
 * @param entry An entry.
 * @param text Something that its state may show.
 * @returns Whether it does.
 */
export function knows({ router }: TestEntry, text: string): boolean {
  return JSON.stringify(router.state()).includes(text);
}

/**
 * @param world Its first entry is waited for.
 * @param config A newer configuration.
 */
export async function useConfig(
  world: World,
  config: typeof CONFIG,
): Promise<void> {
  await world.store.configure(config);
  await until(() => knows(world, `"configVersion":${config.version}`));
}

/** @param holds Asked again and again until it is true. */
export async function until(
  holds: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!await holds()) await new Promise((resolve) => setTimeout(resolve, 5));
}

/**
 * Ports below those that systems give to outgoing connections: of those, one that was free a moment
 * ago may be taken by any process before it is listened at. Each process begins elsewhere.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 30_000;
const PORTS_PER_PROCESS = 120;
let nextPort = FIRST_PORT +
  (process.pid * PORTS_PER_PROCESS) % (LAST_PORT - FIRST_PORT);

async function freePort(): Promise<number> {
  while (true) {
    const port = nextPort++;
    if (nextPort > LAST_PORT) nextPort = FIRST_PORT;
    if (await isFree(port)) return port;
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
