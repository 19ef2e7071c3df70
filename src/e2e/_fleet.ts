/** Fleet of separate processes on free loopback ports. */
import { credentials } from "@grpc/grpc-js";
import {
  SAMPLE_ADMIN_KEY,
  SAMPLE_CALLER_KEY,
  SAMPLE_POOLS,
  SAMPLE_TEAM,
  sampleBranch,
  sha256Hex,
} from "../cli/sample_team.ts";
import { encodeBranch, teamKey } from "../config/stored_branch.ts";
import type { Instance } from "../backends/mod.ts";
import { EtcdStore } from "../store/mod.ts";
import { Child, ChildError } from "./_child.ts";

const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
const LOOPBACK = "127.0.0.1:0";

/** Options of a {@link Fleet}. */
export interface FleetOptions {
  engines?: number;
  /** Command-line flags of each stand-in engine. */
  engineArgs?: string[];
  /** Additional command-line flags of each entry and agent. */
  daemonArgs?: string[];
}

/** Backend server and its agent. */
export interface AgentSlot {
  id: string;
  agent: Child;
  agentAddress: string;
  server: Child;
  /** Base URL of the backend server. */
  serverUrl: string;
}

/** Entry that serves. */
export interface RunningEntry {
  child: Child;
  /** Base URL for client requests. */
  url: string;
  /** Base URL of the admin API. */
  adminUrl: string;
  peerAddress: string;
}

/** Fleet of stand-ins, agents and entries. */
export class Fleet {
  readonly #options: FleetOptions;
  readonly #children: Child[] = [];
  readonly #instances: Instance[] = [];
  readonly slots: AgentSlot[] = [];
  kvAddress = "";
  kvControlUrl = "";
  listUrl = "";
  #entryCount = 0;

  private constructor(options: FleetOptions) {
    this.#options = options;
  }

  /**
   * @param options Number of engines and flags of the processes.
   * @returns Fleet with engines and one plain service, each with an agent, and without entries.
   */
  static async create(options: FleetOptions = {}): Promise<Fleet> {
    const fleet = new Fleet(options);
    try {
      await fleet.#startPlatform();
      const engines = options.engines ?? 2;
      for (let index = 0; index < engines; index++) {
        await fleet.#startAgentSlot("engine", `engine-${index + 1}`);
      }
      await fleet.#startAgentSlot("service", "service-1");
      return fleet;
    } catch (error) {
      await fleet.close();
      throw error;
    }
  }

  /** Request headers that authenticate the sample caller. */
  get headers(): Record<string, string> {
    return { authorization: `Bearer ${SAMPLE_CALLER_KEY}` };
  }

  /** @returns Entry that answers `/readyz` with 200 and lists the sample model. */
  async startEntry(): Promise<RunningEntry> {
    this.#entryCount += 1;
    const id = `entry-${this.#entryCount}`;
    const child = this.#start("cli/main", [
      "entry",
      ...["--instance-id", id, "--zone", "a"],
      ...["--http-address", LOOPBACK, "--peer-address", LOOPBACK],
      ...["--store-address", this.kvAddress],
      ...["--instance-list-url", this.listUrl],
      ...[
        "--seed-addresses",
        this.slots.map((s) => s.agentAddress).join(","),
      ],
      ...["--admin-address", LOOPBACK],
      ...["--admin-key-sha256", sha256Hex(SAMPLE_ADMIN_KEY)],
      ...["--unready-ms", "100"],
      ...(this.#options.daemonArgs ?? []),
    ]);
    const { listening } = await child.started<DaemonStartLine>();
    const entry = {
      child,
      url: `http://${listening["http"]}`,
      adminUrl: `http://${listening["admin"]}`,
      peerAddress: listening["peer"] ?? "",
    };
    await this.#listInstance({ id, role: "entry", address: entry.peerAddress });
    await waitFor(`${entry.url}/readyz`, child);
    return entry;
  }

  /** @param faults Faults that the stand-in key-value service injects. */
  async setKvFaults(faults: Record<string, unknown>): Promise<void> {
    await postJson(`${this.kvControlUrl}/control/faults`, faults);
  }

  /** Kills all processes that still run. */
  async close(): Promise<void> {
    await Promise.all(this.#children.map((child) => child.close()));
  }

  async #startPlatform(): Promise<void> {
    const args = ["--listen", LOOPBACK, "--control", LOOPBACK];
    const kv = this.#start("standin/main", ["kv", ...args]);
    const list = this.#start("standin/main", ["instances"]);
    const { listening, control } = await kv.started<StandinStartLine>();
    this.kvAddress = listening;
    this.kvControlUrl = `http://${control}`;
    this.listUrl = `http://${
      (await list.started<StandinStartLine>()).listening
    }`;
    await writeSampleBranch(this.kvAddress);
  }

  async #startAgentSlot(kind: "engine" | "service", id: string): Promise<void> {
    const extraArgs = kind === "engine" ? this.#options.engineArgs ?? [] : [];
    const server = this.#start("standin/main", [kind, ...extraArgs]);
    const line = await server.started<StandinStartLine>();
    const serverUrl = `http://${line.listening}`;
    const pool = kind === "engine"
      ? SAMPLE_POOLS.engines
      : SAMPLE_POOLS.bookings;
    const agent = this.#start("cli/main", [
      "agent",
      ...["--instance-id", id, "--zone", "a", "--pool", pool],
      ...["--listen-address", LOOPBACK, `--${kind}-url`, serverUrl],
      ...["--store-address", this.kvAddress],
      ...(this.#options.daemonArgs ?? []),
    ]);
    const { listening } = await agent.started<DaemonStartLine>();
    const agentAddress = listening["agent"] ?? "";
    this.slots.push({ id, agent, agentAddress, server, serverUrl });
    await this.#listInstance({
      id,
      role: "agent",
      address: agentAddress,
      pool,
    });
  }

  async #listInstance(
    row: Pick<Instance, "id" | "role" | "address"> & { pool?: string },
  ): Promise<void> {
    this.#instances.push({ zone: "a", pool: "", state: "live", ...row });
    const url = `${this.listUrl}/control/instances`;
    const body = JSON.stringify({ instances: this.#instances });
    await fetch(url, { method: "PUT", body });
  }

  #start(program: string, args: string[]): Child {
    const child = Child.create({ program, args });
    this.#children.push(child);
    return child;
  }
}

interface StandinStartLine {
  listening: string;
  control?: string;
}

interface DaemonStartLine {
  listening: Record<string, string>;
}

/**
 * Polls a URL until it answers 200.
 *
 * @param url URL to poll.
 * @param child Process whose log is added to the error on a timeout.
 */
export async function waitFor(url: string, child: Child): Promise<void> {
  const untilMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < untilMs) {
    const response = await fetch(url).catch(() => undefined);
    await response?.body?.cancel();
    if (response?.status === 200) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new ChildError(`${url} did not answer 200 in time: ${child.log}`);
}

async function writeSampleBranch(address: string): Promise<void> {
  const store = EtcdStore.create({
    address,
    credentials: credentials.createInsecure(),
  });
  const key = teamKey(SAMPLE_TEAM);
  const value = encodeBranch(sampleBranch());
  const written = await store.commit([], [{ kind: "put", key, value }]);
  store.close();
  if (written.isErr) throw new ChildError(written.error.kind);
}

async function postJson(url: string, body: unknown): Promise<void> {
  const response = await fetch(url, {
    method: "POST",
    body: JSON.stringify(body),
  });
  await response.body?.cancel();
  if (!response.ok) throw new ChildError(`${url} answered ${response.status}`);
}
