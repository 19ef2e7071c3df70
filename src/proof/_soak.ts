/** Runs one plan of faults against a fleet of real processes and checks what clients and servers saw. */
import { setTimeout as sleep } from "node:timers/promises";
import { seededRandom } from "../base/random.ts";
import { CONFIG_KEY, CutEnding, SERVERS_PREFIX } from "../standin/mod.ts";
import { probeConfigs } from "./_config_probe.ts";
import { runClient, runLeavers } from "./_soak_client.ts";
import { CRASHING_PART, sendCrashingRequests } from "./_soak_crash_client.ts";
import type { SoakEntry } from "./_soak_entry.ts";
import { type CutEnd, SoakFleet } from "./_soak_fleet.ts";
import { type SoakHistory, STORE } from "./_soak_history.ts";
import { type Fault, FaultKind, type SoakPlan } from "./_soak_fault.ts";
import type { StoreAck } from "./_store_writers.ts";
import { addServerRecords, resultOf, type SoakResult } from "./_soak_result.ts";

/** Connections to each entry. */
const CLIENTS_PER_ENTRY = 3;
/** Requests that a failing server fails. */
const FAILED_REQUESTS = 3;

/**
 * @param plan Faults and sizes.
 * @returns Broken promises, and what happened.
 */
export async function runSoak(plan: SoakPlan): Promise<SoakResult> {
  const run = new SoakRun(plan);
  try {
    return await run.run();
  } finally {
    await run.close();
  }
}

class SoakRun {
  #fleet!: SoakFleet;
  readonly #plan: SoakPlan;
  readonly #history: SoakHistory = {
    clients: [],
    streams: [],
    versions: [],
    runs: [],
    arrivals: [],
    rates: [],
    disruptions: [],
    restarts: [],
    outages: [],
    cutAnswers: [],
    wholeAnswers: [],
    eras: [],
    leavingAcks: [],
    configAcks: [],
    configSamples: [],
    storeCalls: [],
    crashingRequests: [],
    crashes: [],
  };
  /** Entries that are stopped, killed or suspended now; a further such fault leaves them alone. */
  readonly #disrupted = new Set<SoakEntry>();
  #startedAtMs = 0;

  constructor(plan: SoakPlan) {
    this.#plan = plan;
  }

  async run(): Promise<SoakResult> {
    const { durationMs, faults } = this.#plan;
    this.#fleet = await SoakFleet.create(this.#plan, {
      onCrash: (index) => this.#crashed(index),
      onCutEnd: (index, end) => this.#ended(index, end),
      onReturn: (index) =>
        this.#serve(index, this.#fleet.servers[index]!.softwareVersion),
      onAck: (ack) => this.#acknowledged(ack),
      onStoreCall: (entry) =>
        this.#history.storeCalls.push({ entry, atMs: performance.now() }),
    });
    const ended = new AbortController();
    this.#startedAtMs = performance.now();
    for (const [index, { softwareVersion }] of this.#fleet.servers.entries()) {
      this.#serve(index, softwareVersion);
    }
    this.#recordEra();
    if (faults.some(({ kind }) => kind === FaultKind.storeRestore)) {
      this.#fleet.writers.startHeartbeats();
    }
    const clients = this.#fleet.entries.flatMap((entry) => [
      ...this.#startClients(entry, ended.signal),
      this.#probeConfigs(entry, ended.signal),
    ]);
    const injected = faults.map((fault) => this.#injectInTime(fault));
    await sleep(durationMs);
    await Promise.all(injected);
    ended.abort();
    await Promise.all(clients);
    addServerRecords(this.#history, this.#fleet);
    return resultOf(this.#history, this.#startedAtMs);
  }

  /** Ends all processes and stand-ins. */
  async close(): Promise<void> {
    await this.#fleet?.close();
  }

  #crashed(server: number): void {
    const atMs = performance.now();
    this.#endServing(server);
    this.#history.restarts.push({ server, atMs });
    this.#history.crashes.push({ server, atMs });
  }

  #ended(server: number, { ending, isLeaving }: CutEnd): void {
    const atMs = performance.now();
    this.#history.restarts.push({ server, atMs });
    if (isLeaving) return;
    this.#endServing(server);
    this.#history.outages.push({ server, fromMs: atMs, toMs: Infinity });
    if (ending !== CutEnding.replaced) return;
    // The new server names no rate.
    this.#history.rates.push({ server, fromMs: atMs, perSecond: undefined });
  }

  #acknowledged({ key, value, era, atMs }: StoreAck): void {
    const { version, state } = (value ?? {}) as Record<string, unknown>;
    if (key === CONFIG_KEY) {
      this.#history.configAcks.push({ version: Number(version), era, atMs });
    }
    if (state !== "draining") return;
    const serverId = key.slice(SERVERS_PREFIX.length);
    this.#history.leavingAcks.push({ serverId, era, atMs });
  }

  #recordEra(): void {
    const { era } = this.#fleet.store.store;
    this.#history.eras.push({ era, fromMs: performance.now() });
  }

  #probeConfigs(entry: SoakEntry, signal: AbortSignal): Promise<void> {
    const { configSamples: samples } = this.#history;
    const { controlPort, entries } = this.#fleet;
    const options = { controlPort, entryCount: entries.length, samples };
    return probeConfigs(entry, options, signal);
  }

  #startClients(entry: SoakEntry, signal: AbortSignal): Promise<void>[] {
    return Array.from({ length: CLIENTS_PER_ENTRY }, (_, i) => {
      const name = `c${entry.index}-${i}`;
      const number = entry.index * CLIENTS_PER_ENTRY + i;
      const random = seededRandom(this.#plan.seed * 1000 + number);
      const { clients: records, streams } = this.#history;
      const { entries } = this.#fleet;
      const options = { name, random, entries, records, streams };
      return runClient(entry, options, signal);
    });
  }

  async #injectInTime(fault: Fault): Promise<void> {
    await sleep(fault.atMs);
    await this.#inject(fault);
  }

  async #inject(fault: Fault): Promise<void> {
    const { kind, forMs, index, perSecond, softwareVersion } = fault;
    const { store, entries, servers } = this.#fleet;
    const entry = entries[index]!;
    const server = servers[index]!;
    switch (kind) {
      case FaultKind.stop:
        return await this.#end(entry, "SIGTERM");
      case FaultKind.kill:
        return await this.#end(entry, "SIGKILL");
      case FaultKind.freeze:
        return await this.#freeze(entry, forMs);
      case FaultKind.storeDown:
        return await this.#disrupt({ index: STORE }, false, async () => {
          await store.down();
          await sleep(forMs);
          await store.up();
        });
      case FaultKind.storeSilent:
        return await this.#silence(entry, forMs);
      case FaultKind.cutOff:
        entry.loss.begin();
        await this.#silence(entry, forMs);
        return entry.loss.end();
      case FaultKind.takeUps:
        return await this.#takeUpAt(entry, fault);
      case FaultKind.rate:
        server.faults.rate = perSecond === undefined
          ? undefined
          : String(perSecond);
        this.#history.rates.push({
          server: index,
          fromMs: performance.now(),
          perSecond,
        });
        return;
      case FaultKind.serverRestart:
        this.#history.restarts.push({
          server: index,
          atMs: performance.now(),
        });
        this.#endServing(index);
        await this.#fleet.restartServer(index);
        return this.#serve(index, server.softwareVersion);
      case FaultKind.versionRestart:
        return await this.#restartWith(index, `v${softwareVersion}`);
      case FaultKind.release:
        return await this.#release(index, `v${softwareVersion}`);
      case FaultKind.serverFails:
        server.faults.fail += FAILED_REQUESTS;
        return;
      case FaultKind.config:
        return await this.#fleet.writeConfig();
      case FaultKind.unframed:
        server.faults.isUnframed = true;
        await sleep(forMs);
        server.faults.isUnframed = false;
        return;
      case FaultKind.lateRefusals:
        server.faults.hasLateRefusals = true;
        await sleep(forMs);
        server.faults.hasLateRefusals = false;
        return;
      case FaultKind.answerCut:
        server.faults.cut = fault.cut;
        return;
      case FaultKind.storeRestore:
        return await this.#fleet.writers.restore(
          fault.restore!,
          (body) =>
            this.#disrupt({ index: STORE }, false, async () => {
              await body();
              this.#recordEra();
            }),
        );
      case FaultKind.leave:
        return await this.#release(index, server.softwareVersion, forMs);
      case FaultKind.crashingPart: {
        this.#fleet.crashOn(CRASHING_PART);
        const random = seededRandom(this.#plan.seed);
        const { crashingRequests: records } = this.#history;
        return await sendCrashingRequests({ entries, random, records, forMs });
      }
    }
  }

  async #restartWith(index: number, softwareVersion: string): Promise<void> {
    this.#endServing(index);
    this.#history.restarts.push({ server: index, atMs: performance.now() });
    await this.#fleet.restartWith(index, softwareVersion);
    this.#serve(index, softwareVersion);
  }

  async #release(
    index: number,
    softwareVersion: string | undefined,
    drainMs?: number,
  ): Promise<void> {
    // The new server names no rate.
    const fromMs = performance.now();
    this.#history.rates.push({ server: index, fromMs, perSecond: undefined });
    this.#endServing(index);
    await this.#fleet.release(index, softwareVersion ?? "v1", {
      drainMs,
      onStart: () => this.#serve(index, softwareVersion),
      onEnd: () => {
        const atMs = performance.now();
        this.#history.restarts.push({ server: index, atMs });
      },
    });
  }

  /** Records that a server takes requests. */
  #serve(server: number, softwareVersion: string | undefined): void {
    const fromMs = performance.now();
    const outage = this.#history.outages.findLast((one) =>
      one.server === server
    );
    if (outage) outage.toMs = Math.min(outage.toMs, fromMs);
    if (softwareVersion === undefined) return;
    this.#history.versions.push({
      server,
      serverId: this.#fleet.servers[server]!.id,
      softwareVersion,
      fromMs,
      toMs: Infinity,
    });
  }

  #endServing(index: number): void {
    const serving = this.#history.versions.findLast(({ server }) =>
      server === index
    );
    if (serving) serving.toMs = Math.min(serving.toMs, performance.now());
  }

  async #end(entry: SoakEntry, signal: "SIGTERM" | "SIGKILL"): Promise<void> {
    if (this.#disrupted.has(entry)) return;
    this.#disrupted.add(entry);
    await this.#disrupt(entry, signal === "SIGTERM", async () => {
      entry.child.kill(signal);
      await entry.child.exited;
      this.#fleet.restart(entry);
      await this.#fleet.untilReady(entry);
    });
    this.#disrupted.delete(entry);
  }

  async #freeze(entry: SoakEntry, forMs: number): Promise<void> {
    if (this.#disrupted.has(entry)) return;
    this.#disrupted.add(entry);
    await this.#disrupt(entry, false, async () => {
      entry.child.kill("SIGSTOP");
      await sleep(forMs);
      entry.child.kill("SIGCONT");
    });
    this.#disrupted.delete(entry);
  }

  async #takeUpAt(entry: SoakEntry, { atMs, forMs }: Fault): Promise<void> {
    const { clients: records, streams } = this.#history;
    const random = seededRandom(this.#plan.seed * 1000 + atMs);
    const others = this.#fleet.entries.filter((one) => one !== entry);
    const options = { name: `t${atMs}`, random, entries: [entry] };
    const signal = AbortSignal.timeout(forMs);
    await runLeavers(others, { ...options, records, streams }, signal);
  }

  async #silence(entry: SoakEntry, forMs: number): Promise<void> {
    await this.#disrupt(entry, false, async () => {
      entry.link.silent();
      await sleep(forMs);
      entry.link.up();
    });
  }

  async #disrupt(
    { index: entry }: Pick<SoakEntry, "index">,
    isPlanned: boolean,
    body: () => Promise<void>,
  ): Promise<void> {
    const fromMs = performance.now();
    const disruption = { entry, fromMs, toMs: Infinity, isPlanned };
    this.#history.disruptions.push(disruption);
    await body();
    disruption.toMs = performance.now();
  }
}
