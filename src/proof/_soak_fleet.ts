/** The fleet of a soak: entries as processes of their own, stand-ins for the store and the servers. */
import process from "node:process";
import { Child } from "../e2e/_child.ts";
import {
  CONFIG,
  CutEnding,
  fetchReadinessStatus,
  NO_FAULTS,
  restartServer,
  StandinBackendServer,
  StandinPlatformStore,
  TcpRelay,
} from "../standin/mod.ts";
import { isEngine, type SoakSizes } from "./_soak_plan.ts";

/** Ports are taken from below the ephemeral range; all entries use the same ones. */
const FIRST_PORT = 30_100;
const PORTS_PER_PROCESS = 8;
const PORT_BLOCKS = 250;
/** Longer than the deadline of the clients' requests, as on the platform. */
const GRACE_S = 8;
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

/** One entry; its process changes when it starts again. */
export interface SoakEntry {
  index: number;
  ipAddress: string;
  clientPort: number;
  readinessPort: number;
  link: TcpRelay;
  child: Child;
}

/** Is told of servers that end by themselves and come back. */
export interface CrashWatcher {
  onCrash(index: number): void;
  /** A server has ended with an answer that it cut. */
  onCutEnd(index: number, end: CutEnd): void;
  onReturn(index: number): void;
}

/** End of a server that cut an answer. */
export interface CutEnd {
  ending: CutEnding;
  /** Whether the server was leaving, so that its successor serves already. */
  isLeaving: boolean;
}

/** Entries, servers and store of a soak. */
export class SoakFleet {
  readonly entries: SoakEntry[] = [];
  readonly servers: StandinBackendServer[] = [];
  /** Engines that a release has replaced, with the index of their successors. */
  readonly replaced: { index: number; server: StandinBackendServer }[] = [];
  readonly store: StandinPlatformStore;
  readonly #ports: {
    client: number;
    readiness: number;
    control: number;
    peer: number;
  };
  /** Servers that have crashed and are not back. */
  readonly #crashed = new Set<StandinBackendServer>();
  readonly #watcher: CrashWatcher;
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
    watcher: CrashWatcher,
  ) {
    this.store = store;
    this.#watcher = watcher;
    process.on("exit", this.#killAll);
    const first = FIRST_PORT +
      (process.pid % PORT_BLOCKS) * PORTS_PER_PROCESS;
    this.#ports = {
      client: first,
      readiness: first + 1,
      control: first + 2,
      peer: first + 3,
    };
  }

  /**
   * @param sizes Numbers of entries and servers; every other server is a model engine.
   * @param watcher Is told of crashes.
   * @returns A fleet whose entries are ready.
   */
  static async create(
    sizes: SoakSizes,
    watcher: CrashWatcher,
  ): Promise<SoakFleet> {
    const fleet = new SoakFleet(await StandinPlatformStore.create(), watcher);
    await fleet.store.putConfig(CONFIG);
    for (let i = 0; i < sizes.serverCount; i++) await fleet.#addServer(i);
    for (let i = 0; i < sizes.entryCount; i++) await fleet.#addEntry(i);
    for (const entry of fleet.entries) await fleet.untilReady(entry);
    return fleet;
  }

  /** @param entry An entry whose process has ended; it is started again. */
  restart(entry: SoakEntry): void {
    if (!this.#isClosed) entry.child = this.#start(entry);
  }

  /** Writes the next version of the configuration. */
  async writeConfig(): Promise<void> {
    await this.store.putConfig({ ...CONFIG, version: ++this.#configVersion });
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
   * @param options Called when the new engine takes requests, and when the old one ends.
   */
  async release(
    index: number,
    softwareVersion: string,
    { onStart, onEnd }: { onStart: () => void; onEnd: () => void },
  ): Promise<void> {
    const server = this.servers[index]!;
    const id = `i-${index}-${this.replaced.length}`;
    this.servers[index] = await this.#startServer(index, id, softwareVersion);
    this.replaced.push({ index, server });
    await this.#register(this.servers[index]);
    onStart();
    await this.#register(server, { state: "draining" });
    await new Promise((resolve) => setTimeout(resolve, DRAIN_MS));
    if (this.#isClosed) return;
    await this.store.delete(`servers/${server.id}`);
    onEnd();
    this.#crashed.delete(server);
    await this.#restarts.get(server);
    await server.close();
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
    await Promise.all(this.#restarts.values());
    process.off("exit", this.#killAll);
    for (const { child } of this.entries) {
      // A suspended process would not end.
      child.kill("SIGCONT");
      await child.close();
    }
    for (const { link } of this.entries) await link.close();
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
    if (!this.#isClosed) await this.store.delete(`servers/${endedId}`);
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
    await this.store.put(`servers/${server.id}`, registration);
  }

  async #addEntry(index: number): Promise<void> {
    const { client, readiness } = this.#ports;
    const entry = {
      index,
      ipAddress: `127.0.${1 + (index >> 7)}.${1 + (index & 127)}`,
      clientPort: client,
      readinessPort: readiness,
      link: await TcpRelay.create({ targetAddress: this.store.address }),
    };
    this.entries.push({ ...entry, child: this.#start(entry) });
  }

  #start({ index, ipAddress, link }: Omit<SoakEntry, "child">): Child {
    const { client, readiness, control, peer } = this.#ports;
    const seeds = [1, 2, 3].map((host) => `127.0.1.${host}:${control}`);
    return Child.create({
      program: "router/main",
      args: [],
      variables: {
        CICADAHITCH_INSTANCE: `entry-${index}`,
        CICADAHITCH_ZONE: "a",
        CICADAHITCH_IP_ADDRESS: ipAddress,
        CICADAHITCH_CLIENT_ADDRESS: `${ipAddress}:${client}`,
        CICADAHITCH_READINESS_ADDRESS: `${ipAddress}:${readiness}`,
        CICADAHITCH_CONTROL_ADDRESS: `${ipAddress}:${control}`,
        CICADAHITCH_PEER_PORT: String(peer),
        CICADAHITCH_SEED_ADDRESSES: seeds.join(","),
        CICADAHITCH_STORE_ADDRESS: link.address,
        CICADAHITCH_GRACE_S: String(GRACE_S),
        CICADAHITCH_ENGINES_CHECK_FENCES: "true",
        CICADAHITCH_LOG_LEVEL: "warn",
      },
    });
  }
}

async function isReady(entry: SoakEntry): Promise<boolean> {
  try {
    const { readinessPort, ipAddress } = entry;
    return await fetchReadinessStatus(readinessPort, ipAddress) === 200;
  } catch {
    return false;
  }
}
