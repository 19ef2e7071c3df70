/** Starts routers, a fake platform store and fake backend servers in the test process. */
import assert from "node:assert/strict";
import { DEFAULT_INSTANCE_BYTES } from "../base/memory_shares.ts";
import { createServer } from "node:http";
import type { TestContext } from "node:test";
import { type Clock, type Logger, systemClock } from "../base/mod.ts";
import {
  CONFIG,
  fetchReadinessStatus,
  PortRange,
  StandinBackendServer,
  type StandinBackendServerOptions,
  StandinPlatformStore,
  TcpRelay,
} from "../standin/mod.ts";
import { noteRefusals } from "./_admitted_client.ts";
import { silentLog } from "./_kit.ts";
import { ChoiceName } from "./choose.ts";
import { Router } from "./router.ts";
import { AdmissionMode, EngineRatesMode, RunBackupMode } from "./settings.ts";

/** One router (entry) and the TCP relay between it and the store. */
export interface TestEntry {
  name: string;
  router: Router;
  link: TcpRelay;
  /** The entry's clock, which a test may shift or stop. */
  clock: SkewedClock;
  ipAddress: string;
  clientPort: number;
  readinessPort: number;
  /** Port on which the entry serves other entries. */
  controlPort: number;
  peerPort: number;
  /** Ids of the requests that the entry refused because it read them late. */
  refusedBehind: Set<unknown>;
}

/**
 * A store, entries and backend servers, all in this process. The inherited fields are those of the
 * first entry.
 */
export interface World extends TestEntry {
  store: StandinPlatformStore;
  entries: TestEntry[];
  /** Backend servers in order of creation. */
  workers: StandinBackendServer[];
  /** Starts a backend server and waits until the first entry has discovered it. */
  worker(
    id: string,
    options?: Partial<StandinBackendServerOptions>,
  ): Promise<StandinBackendServer>;
  /** Like {@link World.worker}, for an engine that serves model `m`. */
  engine(id: string): Promise<StandinBackendServer>;
  /** Starts a new router with the settings of a stopped entry. */
  restart(entry: TestEntry): Promise<TestEntry>;
}

/** The system clock with an offset; a test may also stop its monotonic time. */
export class SkewedClock implements Clock {
  aheadMs = 0;
  #stoppedMs: number | undefined;

  nowMs = (): number => this.#stoppedMs ?? systemClock.nowMs() + this.aheadMs;
  wallMs = (): number => systemClock.wallMs() + this.aheadMs;
  sleep = systemClock.sleep;

  /** Stops the monotonic time at its current value. */
  stop(): void {
    this.#stoppedMs = this.nowMs();
  }
}

/** Heartbeat interval that the platform configures. */
const HEARTBEAT_MS = 1200;

/** Settings of a {@link World}. */
export interface WorldOptions {
  entryCount?: number;
  /** Minimum time between orders of two different lease holders to one engine. */
  orderTurnMs?: number;
  /** Answers may not start on weights that were replaced this long ago. */
  weightsBoundMs?: number;
  /** Default: fixed. */
  engineRates?: EngineRatesMode;
  /** Default: auto. */
  admission?: AdmissionMode;
  /** Grace time of a stop. */
  graceMs?: number;
  /** Additional seed addresses at which no entry listens. */
  staleSeeds?: string[];
  /** Default: nothing is logged. */
  log?: Logger;
}

/**
 * @param t The test; everything is stopped when it ends.
 * @param options Settings of the entries.
 * @returns A world with the default configuration, whose entries are ready.
 */
export async function openWorld(
  t: TestContext,
  options: WorldOptions = {},
): Promise<World> {
  const world = await openBareWorld(t, options);
  await world.store.putConfig(CONFIG);
  for (const { ipAddress, readinessPort } of world.entries) {
    await until(async () =>
      await fetchReadinessStatus(readinessPort, ipAddress) === 200
    );
  }
  return world;
}

/**
 * @param t The test; everything is stopped when it ends.
 * @param options Settings of the entries.
 * @returns A world whose store is empty, so that its entries have no configuration.
 */
export async function openBareWorld(
  t: TestContext,
  {
    entryCount = 1,
    orderTurnMs = 0,
    weightsBoundMs = 10_000,
    graceMs = 2000,
    staleSeeds = [],
    engineRates = EngineRatesMode.fixed,
    admission = AdmissionMode.auto,
    log = silentLog,
  }: WorldOptions = {},
): Promise<World> {
  const store = await StandinPlatformStore.create();
  const entries: TestEntry[] = [];
  const links: TcpRelay[] = [];
  const workers: StandinBackendServer[] = [];
  // Registered before anything else can fail, since open sockets keep the test process alive.
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
    const { name, link, clock, ipAddress, refusedBehind } = entry;
    const [linkHost = "", linkPort] = link.address.split(":");
    const at = (port: number) => ({ ipAddress, port });
    return Router.create({
      log: noteRefusals(log, refusedBehind),
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
        graceMs,
        orderTurnMs,
        weightsBoundMs,
        heartbeatMs: HEARTBEAT_MS,
        enginesCheckFences: true,
        resendLimits: { ratio: 0.2, slack: 54, windowMs: 10_000 },
        logLevel: "silent",
        choice: ChoiceName.cost,
        engineRates,
        runBackups: RunBackupMode.auto,
        admission,
        memoryBytes: DEFAULT_INSTANCE_BYTES,
        maxDescriptors: 4096,
        priorityFloor: 0.05,
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
      refusedBehind: new Set<unknown>(),
    };
    entries.push({ ...entry, router: await start(entry) });
  }
  const [first] = entries;
  assert.ok(first);
  const worker: World["worker"] = async (id, options = {}) => {
    const made = await StandinBackendServer.create({ id, ...options });
    workers.push(made);
    const service = options.model ? "engines" : "plain";
    await store.put(`servers/${id}`, made.entry(service));
    await until(() => stateContains(first, id));
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
 * @param text Text to search for.
 * @returns Whether the entry's state dump contains the text.
 */
export function stateContains({ router }: TestEntry, text: string): boolean {
  return JSON.stringify(router.state()).includes(text);
}

/**
 * Stores a configuration and waits until the first entry uses it.
 *
 * @param world The world.
 * @param config Configuration with a newer version.
 */
export async function useConfig(
  world: World,
  config: typeof CONFIG,
): Promise<void> {
  await world.store.putConfig(config);
  await until(() => stateContains(world, `"configVersion":${config.version}`));
}

/** @param check Condition that is polled until it is true. */
export async function until(
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!await check()) await new Promise((resolve) => setTimeout(resolve, 5));
}

/**
 * Ports are taken from below the ephemeral range, since any process may be given a free ephemeral
 * port between the check and the call to listen.
 */
const PORTS = PortRange.create({
  firstPort: 20_000,
  lastPort: 29_999,
  blockPorts: 100,
});

async function freePort(): Promise<number> {
  while (true) {
    const port = await PORTS.next();
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
