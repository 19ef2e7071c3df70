/** `cicadahitch dev`: everything in one process on loopback, with stand-ins and a sample team. */
import { Agent, type BackendServer } from "../agent/mod.ts";
import {
  createLogger,
  Lifecycle,
  type Logger,
  systemClock,
} from "../base/mod.ts";
import { encodeBranch, teamKey } from "../config/stored_branch.ts";
import { Entry } from "../entry/mod.ts";
import type { Instance } from "../backends/mod.ts";
import { PolicyName } from "../placement/policy_name.ts";
import {
  StandinEngine,
  StandinInstanceList,
  StandinKv,
  StandinService,
} from "../standin/mod.ts";
import type { WireSecurity } from "../wire/mod.ts";
import { type Daemon, type DaemonFailure, runDaemon } from "./daemon.ts";
import { renderGuide } from "./dev_guide.ts";
import {
  SAMPLE_ADMIN_KEY,
  SAMPLE_POOLS,
  SAMPLE_TEAM,
  sampleBranch,
  sha256Hex,
} from "./sample_team.ts";
import { isLoopback } from "./schemas.ts";
import {
  flagOf,
  type InvalidSettings,
  readSettings,
  type SettingProblem,
  type SettingSources,
  type SettingValues,
} from "./settings.ts";
import { DEV_SETTINGS } from "./tables.ts";

const ZONE = "local";
const DRAIN_MS = 10_000;
const SECURITY: WireSecurity = { kind: "plain" };
const ENTRY_ID = "entry-1";

/** Checked values of {@link DEV_SETTINGS}. */
type DevValues = SettingValues<typeof DEV_SETTINGS>;

interface DevOptions extends DevValues {
  log: Logger;
}

/** An agent to start, and its place in the list of instances. */
interface Seat {
  instanceId: string;
  pool: string;
  listenAddress: string;
  server: BackendServer;
}

/**
 * Runs the embedded fleet until it is stopped.
 *
 * @param sources Flags and environment variables.
 * @returns Why it could not run; nothing after a planned stop.
 */
export async function serveDev(
  sources: SettingSources,
): Promise<InvalidSettings | DaemonFailure | undefined> {
  const values = readSettings(DEV_SETTINGS, sources, { check: checkLoopback });
  if (values.isErr) return values.error;
  const level = values.value.logLevel;
  const log = createLogger({ level, role: "dev", processId: "dev" });
  const start = async (): Promise<Daemon> => {
    const daemon = await startDev({ ...values.value, log });
    process.stderr.write(renderGuide(daemon.listening));
    return daemon;
  };
  return await runDaemon(start, { role: "dev", log });
}

/**
 * Starts stand-ins, three agents and an entry in this process.
 *
 * @param options Where to listen.
 * @returns The running fleet.
 */
export async function startDev(options: DevOptions): Promise<Daemon> {
  const life = Lifecycle.create("dev");
  try {
    return await startParts(options, life);
  } catch (error) {
    await life.stop();
    throw error;
  }
}

async function startParts(
  options: DevOptions,
  life: Lifecycle,
): Promise<Daemon> {
  const kv = own(life, "kv", await startStore(options));
  const list = own(life, "instances", await StandinInstanceList.create());
  const seats = await startServers(options, life);
  const agents: Agent[] = [];
  for (const seat of seats) {
    const agent = await startAgent(options, { seat, store: kv.address });
    life.own({ name: seat.instanceId, close: () => agent.stop() });
    agents.push(agent);
  }
  list.set(seats.map((seat, index) => toRow(seat, agents[index]!.address)));
  const entry = await startEntry(options, {
    store: kv.address,
    listUrl: list.url,
    seeds: agents.map(({ address }) => address),
  });
  life.own({ name: ENTRY_ID, close: () => entry.stop() });
  list.set([{
    id: ENTRY_ID,
    role: "entry",
    zone: ZONE,
    address: entry.peerAddress,
    pool: "",
    state: "live",
  }]);
  return {
    listening: {
      http: entry.httpAddress,
      admin: entry.adminAddress,
      peer: entry.peerAddress,
      agents: agents.map(({ address }) => address).join(","),
      store: kv.address,
    },
    stop: () => life.stop(),
  };
}

async function startStore(options: DevOptions): Promise<StandinKv> {
  const kv = await StandinKv.create({ listenAddress: options.storeAddress });
  const key = teamKey(SAMPLE_TEAM);
  const value = encodeBranch(sampleBranch(), { writer: "dev" });
  await kv.store.commit([], [{ kind: "put", key, value }]);
  return kv;
}

async function startServers(
  options: DevOptions,
  life: Lifecycle,
): Promise<Seat[]> {
  const [first = "", second = "", third = ""] = options.agentAddresses;
  const { engines, bookings } = SAMPLE_POOLS;
  const seats: Seat[] = [];
  for (const listenAddress of [first, second]) {
    const engine = own(life, "engine", await StandinEngine.create());
    seats.push({
      instanceId: `engine-${seats.length + 1}`,
      pool: engines,
      listenAddress,
      server: { kind: "engine", url: engine.url },
    });
  }
  const service = own(life, "service", await StandinService.create());
  seats.push({
    instanceId: "service-1",
    pool: bookings,
    listenAddress: third,
    server: { kind: "service", url: service.url },
  });
  return seats;
}

function startAgent(
  { log }: DevOptions,
  { seat, store }: { seat: Seat; store: string },
): Promise<Agent> {
  return Agent.create({
    ...seat,
    zone: ZONE,
    storeAddress: store,
    seedAddresses: [],
    security: SECURITY,
    drainMs: DRAIN_MS,
    log: log.child({ role: "agent", processId: seat.instanceId }),
    clock: systemClock,
  });
}

function startEntry(
  options: DevOptions,
  { store, listUrl, seeds }: {
    store: string;
    listUrl: string;
    seeds: string[];
  },
): Promise<Entry> {
  return Entry.create({
    instanceId: ENTRY_ID,
    zone: ZONE,
    httpAddress: options.httpAddress,
    adminAddress: options.adminAddress,
    adminKeySha256: sha256Hex(SAMPLE_ADMIN_KEY),
    peerAddress: options.peerAddress,
    storeAddress: store,
    instanceListUrl: listUrl,
    seedAddresses: seeds,
    security: SECURITY,
    policy: PolicyName.Offers,
    zoneRttMs: {},
    drainMs: DRAIN_MS,
    unreadyMs: 0,
    log: options.log.child({ role: "entry", processId: ENTRY_ID }),
    clock: systemClock,
  });
}

function toRow(seat: Seat, address: string): Instance {
  const { instanceId: id, pool } = seat;
  return { id, role: "agent", zone: ZONE, address, pool, state: "live" };
}

function own<T extends { close(): Promise<void> }>(
  life: Lifecycle,
  name: string,
  resource: T,
): T {
  life.own({ name, close: () => resource.close() });
  return resource;
}

function checkLoopback(valid: Partial<DevValues>): SettingProblem[] {
  const { httpAddress, adminAddress, peerAddress, storeAddress } = valid;
  const single = { httpAddress, adminAddress, peerAddress, storeAddress };
  const all = [
    ...Object.entries(single),
    ...(valid.agentAddresses ?? []).map((a) => ["agentAddresses", a] as const),
  ];
  return all.flatMap(([name, address]) =>
    address === undefined || isLoopback(address) ? [] : [{
      flag: flagOf(name),
      value: JSON.stringify(address),
      source: "dev",
      allowed: "Expected a loopback address: dev has keys that all know",
    }]
  );
}
