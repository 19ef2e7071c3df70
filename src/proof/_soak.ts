/** Runs one plan of faults against a fleet of real processes and checks what clients and servers saw. */
import { setTimeout as sleep } from "node:timers/promises";
import { seededRandom } from "../base/random.ts";
import { attemptIdOf } from "../standin/mod.ts";
import { runClient } from "./_soak_client.ts";
import { CRASHING_PART, sendCrashingRequests } from "./_soak_crash_client.ts";
import { type SoakEntry, SoakFleet } from "./_soak_fleet.ts";
import {
  type ClientEnd,
  type Disruption,
  type SoakHistory,
  STORE,
  type Violation,
} from "./_soak_history.ts";
import { findViolations } from "./_soak_oracles.ts";
import { joinedStreams } from "./_soak_stream_oracles.ts";
import { type Fault, FaultKind, type SoakPlan } from "./_soak_plan.ts";

/** Connections to each entry. */
const CLIENTS_PER_ENTRY = 3;
/** Requests that a failing server fails. */
const FAILED_REQUESTS = 3;

/** Numbers of streams. */
export interface StreamCounts {
  /** Streams that hold events of several software versions. */
  joined: Violation[];
  /** Attempts to take up a stream. */
  takenUp: number;
  /** Those of them that went on. */
  wentOn: number;
}

/** What a soak showed. */
export interface SoakResult {
  violations: Violation[];
  /** Requests by how they ended. */
  counts: Record<string, number>;
  streams: StreamCounts;
  /** Requests that reached each server while it named a rate. */
  history: SoakHistory;
  /** Start of the requests, by the clock of the history. */
  startedAtMs: number;
}

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
      onReturn: (index) =>
        this.#serve(index, this.#fleet.servers[index]!.softwareVersion),
    });
    const ended = new AbortController();
    this.#startedAtMs = performance.now();
    for (const [index, { softwareVersion }] of this.#fleet.servers.entries()) {
      this.#serve(index, softwareVersion);
    }
    const clients = this.#fleet.entries.flatMap((entry) =>
      this.#startClients(entry, ended.signal)
    );
    const injected = faults.map((fault) => this.#injectInTime(fault));
    await sleep(durationMs);
    await Promise.all(injected);
    ended.abort();
    await Promise.all(clients);
    this.#collect();
    return {
      violations: findViolations(this.#history),
      counts: this.#counts(),
      streams: this.#streamCounts(),
      history: this.#history,
      startedAtMs: this.#startedAtMs,
    };
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
        return await this.#disrupt(entry, false, async () => {
          entry.link.silent();
          await sleep(forMs);
          entry.link.up();
        });
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

  async #release(index: number, softwareVersion: string): Promise<void> {
    // The new engine names no rate.
    const fromMs = performance.now();
    this.#history.rates.push({ server: index, fromMs, perSecond: undefined });
    this.#endServing(index);
    await this.#fleet.release(index, softwareVersion, {
      onStart: () => this.#serve(index, softwareVersion),
      onEnd: () => {
        const atMs = performance.now();
        this.#history.restarts.push({ server: index, atMs });
      },
    });
  }

  /** Records that a server takes requests. */
  #serve(server: number, softwareVersion: string | undefined): void {
    if (softwareVersion === undefined) return;
    const fromMs = performance.now();
    this.#history.versions.push({
      server,
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

  async #disrupt(
    { index }: Pick<SoakEntry, "index">,
    isPlanned: boolean,
    body: () => Promise<void>,
  ): Promise<void> {
    const disruption: Disruption = {
      entry: index,
      fromMs: performance.now(),
      toMs: Infinity,
      isPlanned,
    };
    this.#history.disruptions.push(disruption);
    await body();
    disruption.toMs = performance.now();
  }

  #collect(): void {
    const { servers, replaced } = this.#fleet;
    const all = [
      ...servers.map((server, index) => ({ index, server })),
      ...replaced,
    ];
    for (const { index: server, server: { arrivals, runs } } of all) {
      const atMsById = new Map(
        arrivals.map(({ requestId, atMs }) => [requestId, atMs]),
      );
      for (const { atMs, requestId } of arrivals) {
        this.#history.arrivals.push({ server, atMs, requestId });
      }
      for (const { headers } of runs) {
        const requestId = String(attemptIdOf(headers));
        const atMs = atMsById.get(requestId) ?? 0;
        this.#history.runs.push({ server, atMs, requestId });
      }
    }
  }

  #streamCounts(): StreamCounts {
    const { streams } = this.#history;
    const takenUp = streams.flatMap(({ attempts }) =>
      attempts.filter(({ isTakenUp }) => isTakenUp)
    );
    return {
      joined: joinedStreams(this.#history),
      takenUp: takenUp.length,
      wentOn: takenUp.filter(({ hasBegun }) => hasBegun).length,
    };
  }

  #counts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { end } of this.#history.clients) {
      const name = nameOf(end);
      counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
  }
}

function nameOf(end: ClientEnd): string {
  switch (end.kind) {
    case "answered":
      return String(end.status);
    case "broken":
      return end.reason;
    case "left":
      return "client_left";
  }
}
