/** A small fleet in this process, over real sockets, whose links and processes fail on demand. */
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

/** Shape of a {@link ProofFleet}. */
export interface ProofFleetOptions {
  entries: number;
  engines: number;
  services: number;
  engine: Partial<StandinEngineOptions>;
  tuning: Partial<EntryTuning>;
  /** Undefined: no entry plans. */
  planning: EntryOptions["planning"];
  /** How long a planned stop waits, in ms. */
  drainMs: number;
  /** Stands between the links and an agent: takes its id and address, gives its own address. */
  between: (id: string, address: string) => Promise<string>;
}

/** A backend server and the agent beside it. */
export interface Seat {
  id: string;
  pool: string;
  server: StandinServer;
  agent: Agent;
  /** Stays the same over restarts. */
  address: string;
}

/** A stand-in for a backend server. */
export type StandinServer =
  | { kind: "engine"; standin: StandinEngine }
  | { kind: "service"; standin: StandinService };

/** An entry, its own links to the agents, and the list that it sees. */
export interface EntrySlot {
  id: string;
  entry: Entry;
  /** Counts its starts. */
  life: number;
  /** False: it was killed, and the next one does not serve yet. */
  isUp: boolean;
  list: StandinInstanceList;
  /** By seat, in the order of the seats. */
  links: TcpRelay[];
}

/** How long calls on a silent connection wait in tests, in ms; see `progressMs`. */
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
  between: (_id, address) => Promise.resolve(address),
};

/** Stand-ins, agents and entries. */
export class ProofFleet {
  readonly options: ProofFleetOptions;
  readonly kv: StandinKv;
  readonly seats: Seat[] = [];
  readonly entries: EntrySlot[] = [];
  readonly #log = createSilentLogger();
  readonly #journals = new Map<Agent, ClaimsJournal>();
  /** What ends beside the test. */
  readonly #ending = new Set<Promise<void>>();

  private constructor(options: ProofFleetOptions, kv: StandinKv) {
    this.options = options;
    this.kv = kv;
  }

  /**
   * @param options What differs from two entries, three engines and two services.
   * @returns A fleet that serves the sample team.
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
      await fleet.#addSeat(`engine-${index + 1}`, { kind: "engine", standin });
    }
    for (let index = 0; index < all.services; index++) {
      const standin = await StandinService.create();
      await fleet.#addSeat(`service-${index + 1}`, {
        kind: "service",
        standin,
      });
    }
    for (let index = 0; index < all.entries; index++) {
      fleet.entries.push(await fleet.#openEntry(`entry-${index + 1}`, 1));
    }
    fleet.listEntries();
    return fleet;
  }

  /** Stand-in engines, in the order of their seats. */
  get engines(): StandinEngine[] {
    return this.seats.flatMap(({ server }) =>
      server.kind === "engine" ? [server.standin] : []
    );
  }

  /** Stand-in services, in the order of their seats. */
  get services(): StandinService[] {
    return this.seats.flatMap(({ server }) =>
      server.kind === "service" ? [server.standin] : []
    );
  }

  /** @returns A seat whose agent has a run that has not ended; undefined: none has. */
  get busySeat(): Seat | undefined {
    return this.seats.find(({ agent }) => {
      const { runs } = agent.dumpState() as { runs: { live?: number } };
      return runs.live! > 0;
    });
  }

  /** Sets what the entries' lists say of a seat. */
  showState(seat: Seat, state: Instance["state"]): void {
    for (const { list, links } of this.entries) {
      list.set([{ ...this.#rowOf(seat, links), state }]);
    }
  }

  /** Shows each entry the others. */
  listEntries(): void {
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

  /** The agent's process is gone without a word; a new one takes its place. */
  async crashAgent(seat: Seat): Promise<void> {
    const index = this.seats.indexOf(seat);
    for (const { links } of this.entries) links[index]!.cutOpen();
    await this.#killAgent(seat.agent);
    seat.agent = await this.#startAgent(seat);
  }

  /** The agent's process is gone without a word, and the list says so. */
  async removeAgent(seat: Seat): Promise<void> {
    const index = this.seats.indexOf(seat);
    for (const { links } of this.entries) links[index]!.cutOpen();
    this.showState(seat, "gone");
    await this.#killAgent(seat.agent);
  }

  /** Stops the agent as planned, and starts a new one in its place. */
  async replaceAgent(seat: Seat): Promise<void> {
    await seat.agent.stop();
    seat.agent = await this.#startAgent(seat);
  }

  /** The entry's process is gone without a word; a new one takes its place. */
  async crashEntry(slot: EntrySlot): Promise<void> {
    this.#endLater(this.#kill(slot));
    await this.#reopen(slot);
    this.listEntries();
  }

  /** All entries are gone at once, and come back with nothing in memory. */
  async crashAllEntries(): Promise<void> {
    for (const slot of this.entries) this.#endLater(this.#kill(slot));
    await Promise.all(this.entries.map((slot) => this.#reopen(slot)));
    this.listEntries();
  }

  /** Ends everything. */
  async close(): Promise<void> {
    await Promise.all(this.entries.map((slot) => this.#kill(slot)));
    await Promise.all(this.seats.map((seat) => this.#closeSeat(seat)));
    await Promise.all(this.#ending);
    await this.kv.close();
  }

  async #closeSeat({ agent, server }: Seat): Promise<void> {
    await this.#killAgent(agent);
    await server.standin.close();
  }

  /** Its store is closed first, so that closing its journal writes nothing. */
  async #killAgent(agent: Agent): Promise<void> {
    await agent.kill();
    const journal = this.#journals.get(agent);
    if (journal) this.#endLater(journal.close());
    this.#journals.delete(agent);
  }

  #endLater(work: Promise<void>): void {
    const done = work.finally(() => this.#ending.delete(done));
    this.#ending.add(done);
  }

  async #reopen(slot: EntrySlot): Promise<void> {
    Object.assign(slot, await this.#openEntry(slot.id, slot.life + 1));
  }

  async #kill(slot: EntrySlot): Promise<void> {
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

  async #addSeat(id: string, server: StandinServer): Promise<void> {
    const pool = server.kind === "engine"
      ? SAMPLE_POOLS.engines
      : SAMPLE_POOLS.bookings;
    const seat = { id, pool, server, address: LOOPBACK };
    const agent = await this.#startAgent(seat);
    this.seats.push({ ...seat, agent, address: agent.address });
  }

  async #startAgent(seat: Omit<Seat, "agent">): Promise<Agent> {
    const { kind, standin } = seat.server;
    const server: BackendServer = { kind, url: standin.url };
    const options: AgentOptions = {
      instanceId: seat.id,
      zone: ZONE,
      pool: seat.pool,
      listenAddress: seat.address,
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

  async #openEntry(id: string, life: number): Promise<EntrySlot> {
    const links = await Promise.all(
      this.seats.map(async ({ id, address }) => {
        const targetAddress = await this.options.between(id, address);
        return await TcpRelay.create({ targetAddress });
      }),
    );
    const list = await StandinInstanceList.create();
    list.set(this.seats.map((seat) => this.#rowOf(seat, links)));
    const entry = await this.#startEntry(id, list, links);
    return { id, entry, life, isUp: true, list, links };
  }

  #rowOf(seat: Seat, links: TcpRelay[]): Instance {
    return {
      id: seat.id,
      role: "agent",
      zone: ZONE,
      address: links[this.seats.indexOf(seat)]!.address,
      pool: seat.pool,
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
