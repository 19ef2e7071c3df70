/** `cicadahitch dev`: all daemons in one process on loopback, with stand-ins and a sample team. */
import { BYTES_PER_MB } from "../base/memory_shares.ts";
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
import { DEV_SETTINGS } from "./setting_tables.ts";

const ZONE = "local";
const DRAIN_MS = 10_000;
const SECURITY: WireSecurity = { kind: "plain" };
const ENTRY_ID = "entry-1";

/** Validated values of {@link DEV_SETTINGS}. */
type DevValues = SettingValues<typeof DEV_SETTINGS>;

interface DevOptions extends DevValues {
  log: Logger;
}

/** An agent to start and to add to the instance list. */
interface AgentSpec {
  instanceId: string;
  pool: string;
  listenAddress: string;
  server: BackendServer;
}

/**
 * Runs the embedded fleet until it is shut down.
 *
 * @param sources Flags and environment variables.
 * @returns The failure, or `undefined` after a graceful shutdown.
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
 * @param options Listener addresses and the logger.
 * @returns The running fleet.
 */
export async function startDev(options: DevOptions): Promise<Daemon> {
  const lifecycle = Lifecycle.create("dev");
  try {
    return await startComponents(options, lifecycle);
  } catch (error) {
    await lifecycle.stop();
    throw error;
  }
}

async function startComponents(
  options: DevOptions,
  lifecycle: Lifecycle,
): Promise<Daemon> {
  const kv = own(lifecycle, "kv", await startStore(options));
  const list = own(lifecycle, "instances", await StandinInstanceList.create());
  const specs = await startBackendServers(options, lifecycle);
  const agents: Agent[] = [];
  for (const spec of specs) {
    const agent = await startAgent(options, { spec, store: kv.address });
    lifecycle.own({ name: spec.instanceId, close: () => agent.stop() });
    agents.push(agent);
  }
  list.set(
    specs.map((spec, index) => toInstance(spec, agents[index]!.address)),
  );
  const entry = await startEntry(options, {
    store: kv.address,
    listUrl: list.url,
    seeds: agents.map(({ address }) => address),
  });
  lifecycle.own({ name: ENTRY_ID, close: () => entry.stop() });
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
    stop: () => lifecycle.stop(),
  };
}

async function startStore(options: DevOptions): Promise<StandinKv> {
  const kv = await StandinKv.create({ listenAddress: options.storeAddress });
  const key = teamKey(SAMPLE_TEAM);
  const value = encodeBranch(sampleBranch(), { writer: "dev" });
  await kv.store.commit([], [{ kind: "put", key, value }]);
  return kv;
}

async function startBackendServers(
  options: DevOptions,
  lifecycle: Lifecycle,
): Promise<AgentSpec[]> {
  const [first = "", second = "", third = ""] = options.agentAddresses;
  const { engines, bookings } = SAMPLE_POOLS;
  const specs: AgentSpec[] = [];
  for (const listenAddress of [first, second]) {
    const engine = own(lifecycle, "engine", await StandinEngine.create());
    specs.push({
      instanceId: `engine-${specs.length + 1}`,
      pool: engines,
      listenAddress,
      server: { kind: "engine", url: engine.url },
    });
  }
  const service = own(lifecycle, "service", await StandinService.create());
  specs.push({
    instanceId: "service-1",
    pool: bookings,
    listenAddress: third,
    server: { kind: "service", url: service.url },
  });
  return specs;
}

function startAgent(
  { log }: DevOptions,
  { spec, store }: { spec: AgentSpec; store: string },
): Promise<Agent> {
  return Agent.create({
    ...spec,
    zone: ZONE,
    storeAddress: store,
    seedAddresses: [],
    security: SECURITY,
    drainMs: DRAIN_MS,
    log: log.child({ role: "agent", processId: spec.instanceId }),
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
    memoryBytes: options.memoryMb * BYTES_PER_MB,
    log: options.log.child({ role: "entry", processId: ENTRY_ID }),
    clock: systemClock,
  });
}

function toInstance(spec: AgentSpec, address: string): Instance {
  const { instanceId: id, pool } = spec;
  return { id, role: "agent", zone: ZONE, address, pool, state: "live" };
}

function own<T extends { close(): Promise<void> }>(
  lifecycle: Lifecycle,
  name: string,
  resource: T,
): T {
  lifecycle.own({ name, close: () => resource.close() });
  return resource;
}

function checkLoopback(valid: Partial<DevValues>): SettingProblem[] {
  const { httpAddress, adminAddress, peerAddress, storeAddress } = valid;
  const singleAddresses = {
    httpAddress,
    adminAddress,
    peerAddress,
    storeAddress,
  };
  const allAddresses = [
    ...Object.entries(singleAddresses),
    ...(valid.agentAddresses ?? []).map((a) => ["agentAddresses", a] as const),
  ];
  return allAddresses.flatMap(([name, address]) =>
    address === undefined || isLoopback(address) ? [] : [{
      flag: flagOf(name),
      value: JSON.stringify(address),
      source: "dev",
      allowed:
        "Expected a loopback address because dev uses publicly known keys",
    }]
  );
}
