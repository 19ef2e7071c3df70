/** The fleet of a soak: entries as processes of their own, stand-ins for the store and the servers. */
import process from "node:process";
import { seededRandom } from "../base/random.ts";
import {
  CONFIG,
  CONFIG_KEY,
  CutEnding,
  NO_FAULTS,
  restartServer,
  SERVERS_PREFIX,
  StandinBackendServer,
  StandinPlatformStore,
  TcpRelay,
} from "../standin/mod.ts";
import { DatagramLoss } from "./_datagram_loss.ts";
import {
  claimPorts,
  entryAddress,
  entryIndexOf,
  type EntryPorts,
  isReady,
  type SoakEntry,
  startEntry,
} from "./_soak_entry.ts";
import type { SoakSizes } from "./_soak_fault.ts";
import { isEngine } from "./_soak_plan.ts";
import { type StoreAck, StoreWriters } from "./_store_writers.ts";

const POLL_MS = 20;
/** Times of a plain call and of the events of a stream. */
const CALL_MS = 40;
const EVENTS = 6;
const EVENT_MS = 30;
/** Time from an engine's announcement that it leaves to its end. */
const DRAIN_MS = 2500;
/** Time after which a crashed server is back. */
const RETURN_MS = 2000;
/** Time after which the registration of a server that is gone lapses. */
const LAPSE_MS = 2400;
const WRITERS_SEED = 1;

/** Is told of servers that end by themselves and come back, and of what the store sees. */
export interface FleetWatcher {
  onCrash(index: number): void;
  /** A server has ended with an answer that it cut. */
  onCutEnd(index: number, end: CutEnd): void;
  onReturn(index: number): void;
  onAck?(ack: StoreAck): void;
  /** An entry's call has reached the store. */
  onStoreCall?(index: number): void;
}

/** End of a server that cut an answer. */
export interface CutEnd {
  ending: CutEnding;
  /** Whether the server was leaving, so that its successor serves already. */
  isLeaving: boolean;
}

/** Options of {@link SoakFleet.release}. */
export interface ReleaseOptions {
  /** Called when the new server takes requests. */
  onStart(): void;
  /** Called when the old one ends. */
  onEnd(): void;
  /** Time from the old one's announcement that it leaves to its end. */
  drainMs?: number;
}

/** Entries, servers and store of a soak. */
export class SoakFleet {
  readonly entries: SoakEntry[] = [];
  readonly servers: StandinBackendServer[] = [];
  /** Engines that a release has replaced, with the index of their successors. */
  readonly replaced: { index: number; server: StandinBackendServer }[] = [];
  readonly store: StandinPlatformStore;
  readonly writers: StoreWriters;
  readonly #ports: EntryPorts;
  /** Servers that have crashed and are not back. */
  readonly #crashed = new Set<StandinBackendServer>();
  readonly #watcher: FleetWatcher;
  /** Restarts in progress; those of one server happen one after the other. */
  readonly #restarts = new Map<StandinBackendServer, Promise<void>>();
  /** Part of prompts that crashes engines; undefined: none. */
  #crashingPart: string | undefined;
  #configVersion = 1;
  #isClosed = false;
  /** The entries must not outlive this process. */
  readonly #killAll = () => {
    for (const { child } of this.entries) child.kill("SIGKILL");
  };

  private constructor(
    store: StandinPlatformStore,
    ports: EntryPorts,
    watcher: FleetWatcher,
  ) {
    this.store = store;
    this.#ports = ports;
    this.#watcher = watcher;
    this.writers = StoreWriters.create({
      store,
      random: seededRandom(WRITERS_SEED),
      isAlive: (key) => this.#isAlive(key),
      onAck: (ack) => watcher.onAck?.(ack),
    });
    process.on("exit", this.#killAll);
  }

  /**
   * @param sizes Numbers of entries and servers; every other server is a model engine.
   * @param watcher Is told of crashes.
   * @returns A fleet whose entries are ready.
   */
  static async create(
    sizes: SoakSizes,
    watcher: FleetWatcher,
  ): Promise<SoakFleet> {
    const store = await StandinPlatformStore.create({
      onCall: (address) => {
        const index = entryIndexOf(address);
        if (index >= 0) watcher.onStoreCall?.(index);
      },
    });
    const fleet = new SoakFleet(store, await claimPorts(), watcher);
    await fleet.writers.write(CONFIG_KEY, CONFIG);
    for (let i = 0; i < sizes.serverCount; i++) await fleet.#addServer(i);
    for (let i = 0; i < sizes.entryCount; i++) await fleet.#addEntry(i);
    for (const entry of fleet.entries) await fleet.untilReady(entry);
    return fleet;
  }

  /** @param entry An entry whose process has ended; it is started again. */
  restart(entry: SoakEntry): void {
    if (!this.#isClosed) entry.child = startEntry(entry, this.#ports);
  }

  /** Writes the next version of the configuration. */
  async writeConfig(): Promise<void> {
    const config = { ...CONFIG, version: ++this.#configVersion };
    await this.writers.write(CONFIG_KEY, config);
  }

  /** @param index Server that restarts and registers again. */
  async restartServer(index: number): Promise<void> {
    await this.#restart(this.servers[index]!);
  }

  /**
   * Restarts an engine under its id.
   *
   * @param index The engine.
   * @param softwareVersion Its software version from now on.
   */
  async restartWith(index: number, softwareVersion: string): Promise<void> {
    await this.#restart(this.servers[index]!, softwareVersion);
  }

  /** @param part Part of prompts that crashes the engines from now on. */
  crashOn(part: string): void {
    this.#crashingPart = part;
    for (const { faults } of this.servers) faults.endOnPart = part;
  }

  /**
   * Replaces an engine by one with another id, which leaves and then ends.
   *
   * @param index The engine.
   * @param softwareVersion Software version of its successor.
   * @param options What is called when, and how long the old engine serves.
   */
  async release(
    index: number,
    softwareVersion: string,
    { onStart, onEnd, drainMs = DRAIN_MS }: ReleaseOptions,
  ): Promise<void> {
    const server = this.servers[index]!;
    const id = `i-${index}-${this.replaced.length}`;
    this.servers[index] = await this.#startServer(index, id, softwareVersion);
    this.replaced.push({ index, server });
    await this.#register(this.servers[index]);
    onStart();
    await this.#register(server, { state: "draining" });
    await new Promise((resolve) => setTimeout(resolve, drainMs));
    if (this.#isClosed) return;
    await this.writers.write(`${SERVERS_PREFIX}${server.id}`, undefined);
    onEnd();
    this.#crashed.delete(server);
    await this.#restarts.get(server);
    await server.close();
  }

  /** Port of the entries' control addresses. */
  get controlPort(): number {
    return this.#ports.control;
  }

  /** @param entry Entry to wait for. */
  async untilReady(entry: SoakEntry): Promise<void> {
    while (!this.#isClosed && !await isReady(entry)) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  /** Ends all processes and stand-ins. */
  async close(): Promise<void> {
    this.#isClosed = true;
    this.writers.close();
    await Promise.all(this.#restarts.values());
    process.off("exit", this.#killAll);
    for (const { child } of this.entries) {
      // A suspended process would not end.
      child.kill("SIGCONT");
      await child.close();
    }
    for (const { link, loss } of this.entries) {
      await link.close();
      loss.close();
    }
    for (const server of this.servers) await server.close();
    for (const { server } of this.replaced) await server.close();
    await this.store.close();
  }

  async #addServer(index: number): Promise<void> {
    const server = await this.#startServer(index, `i-${index}`, "v1");
    this.servers.push(server);
    await this.#register(server);
  }

  #startServer(
    index: number,
    id: string,
    softwareVersion: string,
  ): Promise<StandinBackendServer> {
    const engine = { model: "m", events: EVENTS, eventMs: EVENT_MS };
    const endOnPart = this.#crashingPart;
    const server = StandinBackendServer.create({
      id,
      ...(isEngine(index) ? { ...engine, softwareVersion } : {}),
      faults: { ...NO_FAULTS, lateMs: CALL_MS, endOnPart },
      onCrash: () =>
        void server.then((one) => {
          this.#watcher.onCrash(index);
          return this.#returnLater(index, one);
        }),
      onCutEnd: (ending) =>
        void server.then((one) => this.#onCutEnd(index, one, ending)),
    });
    return server;
  }

  /** The operator lives; a registration's server may not. */
  #isAlive(key: string): boolean {
    if (!key.startsWith(SERVERS_PREFIX)) return true;
    const all = [
      ...this.servers,
      ...this.replaced.map(({ server }) => server),
    ];
    const server = all.find(({ id }) => `${SERVERS_PREFIX}${id}` === key);
    return server !== undefined && !this.#crashed.has(server);
  }

  async #onCutEnd(
    index: number,
    server: StandinBackendServer,
    ending: CutEnding,
  ): Promise<void> {
    const isCurrent = () => this.servers[index] === server;
    this.#watcher.onCutEnd(index, { ending, isLeaving: !isCurrent() });
    if (ending !== CutEnding.replaced) {
      return await this.#returnLater(index, server);
    }
    const endedId = server.id;
    server.id = `${endedId}r`;
    server.faults.rate = undefined;
    await this.#restart(server);
    if (isCurrent()) this.#watcher.onReturn(index);
    await new Promise((resolve) => setTimeout(resolve, LAPSE_MS));
    await this.writers.write(`${SERVERS_PREFIX}${endedId}`, undefined);
  }

  async #returnLater(
    index: number,
    server: StandinBackendServer,
  ): Promise<void> {
    this.#crashed.add(server);
    await new Promise((resolve) => setTimeout(resolve, RETURN_MS));
    if (!this.#crashed.has(server)) return;
    await this.#restart(server);
    if (this.servers[index] === server) this.#watcher.onReturn(index);
  }

  /** A restart that was asked for brings a crashed server back, too. */
  async #restart(
    server: StandinBackendServer,
    softwareVersion?: string,
  ): Promise<void> {
    const before = this.#restarts.get(server) ?? Promise.resolve();
    const restart = before.then(async () => {
      if (this.#isClosed) return;
      this.#crashed.delete(server);
      await server.down();
      server.softwareVersion = softwareVersion ?? server.softwareVersion;
      await restartServer(server);
      await this.#register(server);
    });
    this.#restarts.set(server, restart);
    await restart;
  }

  async #register(
    server: StandinBackendServer,
    fields: object = {},
  ): Promise<void> {
    const service = server.model ? "engines" : "plain";
    const registration = server.entry(service, fields);
    // A restart during a release must not bring back a server that leaves.
    const isLeaving = this.replaced.some((one) => one.server === server);
    if (isLeaving && !("state" in fields)) return;
    await this.writers.write(`${SERVERS_PREFIX}${server.id}`, registration);
  }

  async #addEntry(index: number): Promise<void> {
    const { client, readiness } = this.#ports;
    const ipAddress = entryAddress(index);
    const targetAddress = this.store.address;
    const sourceAddress = ipAddress;
    const entry = {
      index,
      ipAddress,
      clientPort: client,
      readinessPort: readiness,
      link: await TcpRelay.create({ targetAddress, sourceAddress }),
      loss: DatagramLoss.create(),
    };
    this.entries.push({ ...entry, child: startEntry(entry, this.#ports) });
  }
}
