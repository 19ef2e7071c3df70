/** Fleet of entries and agents in one process, over TCP sockets, with fault injection. */
import { buildDependencies } from "../agent/agent_dependencies.ts";
import { Agent, type AgentOptions, type BackendServer } from "../agent/mod.ts";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import {
  SAMPLE_ADMIN_KEY,
  SAMPLE_POOLS,
  SAMPLE_TEAM,
  sampleBranch,
  sha256Hex,
} from "../cli/sample_team.ts";
import { encodeBranch, teamKey } from "../config/mod.ts";
import { Entry, type EntryOptions, type EntryTuning } from "../entry/mod.ts";
import type { ClaimsJournal } from "../journal/mod.ts";
import { PolicyName } from "../placement/policy_name.ts";
import type { Instance } from "../backends/mod.ts";
import {
  StandinEngine,
  type StandinEngineOptions,
  StandinInstanceList,
  StandinKv,
  StandinService,
  TcpRelay,
} from "../standin/mod.ts";

/** Options of a {@link ProofFleet}. */
export interface ProofFleetOptions {
  entries: number;
  engines: number;
  services: number;
  engine: Partial<StandinEngineOptions>;
  tuning: Partial<EntryTuning>;
  /** Undefined: entries do not plan where models are loaded. */
  planning: EntryOptions["planning"];
  /** How long a graceful stop of an agent waits for its runs, in ms. */
  drainMs: number;
  /** Starts a proxy in front of an agent with this id and address; returns the proxy's address. */
  proxyAgent: (id: string, address: string) => Promise<string>;
}

/** Backend server and its agent; the agent may be replaced. */
export interface AgentSlot {
  id: string;
  pool: string;
  server: StandinServer;
  agent: Agent;
  /** Address of the agent, which a restart keeps. */
  address: string;
}

/** Stand-in for a backend server. */
export type StandinServer =
  | { kind: "engine"; standin: StandinEngine }
  | { kind: "service"; standin: StandinService };

/** Entry, its relays to the agents, and its instance list; the entry may be replaced. */
export interface EntrySlot {
  id: string;
  entry: Entry;
  /** Number of times that this entry has been started. */
  generation: number;
  /** False from when the entry is killed until its replacement serves. */
  isUp: boolean;
  list: StandinInstanceList;
  /** One relay for each agent, in the order of {@link ProofFleet.agentSlots}. */
  links: TcpRelay[];
}

/** Progress timeout of entries in tests, in ms; see {@link EntryTuning.progressMs}. */
export const PROGRESS_MS = 400;

const ZONE = "a";
const LOOPBACK = "127.0.0.1:0";
const DEFAULTS: ProofFleetOptions = {
  entries: 2,
  engines: 3,
  services: 2,
  engine: { decodeMsPerToken: 2 },
  tuning: {
    progressMs: PROGRESS_MS,
    cancelTimeoutMs: 300,
    listWaitMs: 500,
  },
  planning: undefined,
  drainMs: 10_000,
  proxyAgent: (_id, address) => Promise.resolve(address),
};

/** Fleet of stand-ins, agents and entries. */
export class ProofFleet {
  readonly options: ProofFleetOptions;
  readonly kv: StandinKv;
  readonly agentSlots: AgentSlot[] = [];
  readonly entries: EntrySlot[] = [];
  readonly #log = createSilentLogger();
  readonly #journals = new Map<Agent, ClaimsJournal>();
  /** Components that are still closing. */
  readonly #pendingCloses = new Set<Promise<void>>();

  private constructor(options: ProofFleetOptions, kv: StandinKv) {
    this.options = options;
    this.kv = kv;
  }

  /**
   * @param options Overrides; the default is two entries, three engines and two services.
   * @returns Fleet that serves the sample team.
   */
  static async create(
    options: Partial<ProofFleetOptions> = {},
  ): Promise<ProofFleet> {
    const all = { ...DEFAULTS, ...options };
    const kv = await StandinKv.create();
    const fleet = new ProofFleet(all, kv);
    await fleet.#writeBranch();
    for (let index = 0; index < all.engines; index++) {
      const standin = await StandinEngine.create(all.engine);
      await fleet.#addAgentSlot(`engine-${index + 1}`, {
        kind: "engine",
        standin,
      });
    }
    for (let index = 0; index < all.services; index++) {
      const standin = await StandinService.create();
      await fleet.#addAgentSlot(`service-${index + 1}`, {
        kind: "service",
        standin,
      });
    }
    for (let index = 0; index < all.entries; index++) {
      fleet.entries.push(await fleet.#openEntry(`entry-${index + 1}`, 1));
    }
    fleet.publishEntries();
    return fleet;
  }

  /** Stand-in engines, in the order of {@link agentSlots}. */
  get engines(): StandinEngine[] {
    return this.agentSlots.flatMap(({ server }) =>
      server.kind === "engine" ? [server.standin] : []
    );
  }

  /** Stand-in services, in the order of {@link agentSlots}. */
  get services(): StandinService[] {
    return this.agentSlots.flatMap(({ server }) =>
      server.kind === "service" ? [server.standin] : []
    );
  }

  /** First slot whose agent has a run in progress; undefined if there is none. */
  get busyAgentSlot(): AgentSlot | undefined {
    return this.agentSlots.find(({ agent }) => {
      const { runs } = agent.dumpState() as { runs: { live?: number } };
      return runs.live! > 0;
    });
  }

  /** Sets the state of an agent in the instance list of each entry. */
  setListedState(agentSlot: AgentSlot, state: Instance["state"]): void {
    for (const { list, links } of this.entries) {
      list.set([{ ...this.#listedInstance(agentSlot, links), state }]);
    }
  }

  /** Adds all entries to the instance list of each entry. */
  publishEntries(): void {
    const rows = this.entries.map(({ id, entry }): Instance => ({
      id,
      role: "entry",
      zone: ZONE,
      address: entry.peerAddress,
      pool: "",
      state: "live",
    }));
    for (const { list } of this.entries) list.set(rows);
  }

  /** Kills an agent without a graceful stop, and starts a new one at the same address. */
  async crashAgent(agentSlot: AgentSlot): Promise<void> {
    const index = this.agentSlots.indexOf(agentSlot);
    for (const { links } of this.entries) links[index]!.cutOpen();
    await this.#killAgent(agentSlot.agent);
    agentSlot.agent = await this.#startAgent(agentSlot);
  }

  /** Kills an agent without a graceful stop, and lists it as gone. */
  async removeAgent(agentSlot: AgentSlot): Promise<void> {
    const index = this.agentSlots.indexOf(agentSlot);
    for (const { links } of this.entries) links[index]!.cutOpen();
    this.setListedState(agentSlot, "gone");
    await this.#killAgent(agentSlot.agent);
  }

  /** Stops an agent gracefully, and starts a new one at the same address. */
  async replaceAgent(agentSlot: AgentSlot): Promise<void> {
    await agentSlot.agent.stop();
    agentSlot.agent = await this.#startAgent(agentSlot);
  }

  /** Kills an entry, and starts a new one. */
  async crashEntry(slot: EntrySlot): Promise<void> {
    this.#closeLater(this.#killEntry(slot));
    await this.#restartEntry(slot);
    this.publishEntries();
  }

  /** Kills all entries at the same time, and starts new ones with empty memory. */
  async crashAllEntries(): Promise<void> {
    for (const slot of this.entries) this.#closeLater(this.#killEntry(slot));
    await Promise.all(this.entries.map((slot) => this.#restartEntry(slot)));
    this.publishEntries();
  }

  /** Stops all components. */
  async close(): Promise<void> {
    await Promise.all(this.entries.map((slot) => this.#killEntry(slot)));
    await Promise.all(
      this.agentSlots.map((agentSlot) => this.#closeAgentSlot(agentSlot)),
    );
    await Promise.all(this.#pendingCloses);
    await this.kv.close();
  }

  async #closeAgentSlot({ agent, server }: AgentSlot): Promise<void> {
    await this.#killAgent(agent);
    await server.standin.close();
  }

  /** Kills the agent before closing its journal: with the store closed, the journal writes nothing. */
  async #killAgent(agent: Agent): Promise<void> {
    await agent.kill();
    const journal = this.#journals.get(agent);
    if (journal) this.#closeLater(journal.close());
    this.#journals.delete(agent);
  }

  #closeLater(work: Promise<void>): void {
    const done = work.finally(() => this.#pendingCloses.delete(done));
    this.#pendingCloses.add(done);
  }

  async #restartEntry(slot: EntrySlot): Promise<void> {
    Object.assign(slot, await this.#openEntry(slot.id, slot.generation + 1));
  }

  async #killEntry(slot: EntrySlot): Promise<void> {
    const { entry, links, list } = slot;
    slot.isUp = false;
    const closed = links.map((link) => link.close());
    await Promise.all([...closed, list.close(), entry.stop()]);
  }

  async #writeBranch(): Promise<void> {
    const value = encodeBranch(sampleBranch(), { writer: "proof" });
    const key = teamKey(SAMPLE_TEAM);
    await this.kv.store.commit([], [{ kind: "put", key, value }]);
  }

  async #addAgentSlot(id: string, server: StandinServer): Promise<void> {
    const pool = server.kind === "engine"
      ? SAMPLE_POOLS.engines
      : SAMPLE_POOLS.bookings;
    const agentSlot = { id, pool, server, address: LOOPBACK };
    const agent = await this.#startAgent(agentSlot);
    this.agentSlots.push({ ...agentSlot, agent, address: agent.address });
  }

  async #startAgent(agentSlot: Omit<AgentSlot, "agent">): Promise<Agent> {
    const { kind, standin } = agentSlot.server;
    const server: BackendServer = { kind, url: standin.url };
    const options: AgentOptions = {
      instanceId: agentSlot.id,
      zone: ZONE,
      pool: agentSlot.pool,
      listenAddress: agentSlot.address,
      server,
      storeAddress: this.kv.address,
      seedAddresses: [],
      security: { kind: "plain" },
      drainMs: this.options.drainMs,
      log: this.#log,
      clock: systemClock,
    };
    const parts = buildDependencies(options);
    let journal: ClaimsJournal | undefined;
    const agent = await Agent.create(options, {
      ...parts,
      openJournal: (self) => journal = parts.openJournal!(self),
    });
    if (journal) this.#journals.set(agent, journal);
    return agent;
  }

  async #openEntry(id: string, generation: number): Promise<EntrySlot> {
    const links = await Promise.all(
      this.agentSlots.map(async ({ id, address }) => {
        const targetAddress = await this.options.proxyAgent(id, address);
        return await TcpRelay.create({ targetAddress });
      }),
    );
    const list = await StandinInstanceList.create();
    list.set(
      this.agentSlots.map((agentSlot) =>
        this.#listedInstance(agentSlot, links)
      ),
    );
    const entry = await this.#startEntry(id, list, links);
    return { id, entry, generation, isUp: true, list, links };
  }

  #listedInstance(agentSlot: AgentSlot, links: TcpRelay[]): Instance {
    return {
      id: agentSlot.id,
      role: "agent",
      zone: ZONE,
      address: links[this.agentSlots.indexOf(agentSlot)]!.address,
      pool: agentSlot.pool,
      state: "live",
    };
  }

  #startEntry(
    id: string,
    list: StandinInstanceList,
    links: TcpRelay[],
  ): Promise<Entry> {
    return Entry.create({
      instanceId: id,
      zone: ZONE,
      httpAddress: LOOPBACK,
      adminAddress: LOOPBACK,
      adminKeySha256: sha256Hex(SAMPLE_ADMIN_KEY),
      peerAddress: LOOPBACK,
      storeAddress: this.kv.address,
      instanceListUrl: list.url,
      seedAddresses: links.map(({ address }) => address),
      security: { kind: "plain" },
      policy: PolicyName.Offers,
      zoneRttMs: {},
      drainMs: 0,
      unreadyMs: 0,
      log: this.#log,
      clock: systemClock,
      tuning: this.options.tuning,
      planning: this.options.planning,
    });
  }
}
