/** The agent process, which runs beside one backend server and is its only client. */
import { randomUUID } from "node:crypto";
import { Lifecycle } from "../base/mod.ts";
import { BranchSet } from "../config/branch_set.ts";
import type { ClaimsJournal } from "../journal/mod.ts";
import { FencingGate } from "../lease/mod.ts";
import type { ModelsReport } from "../wire/gen/cicadahitch.ts";
import { ChannelPool, GrpcListener, type ListenFailure } from "../wire/mod.ts";
import { OPTIMIZED_AGENT_SERVICE } from "../wire/run_codec.ts";
import { AgentCore, type ServerHandler } from "./agent_core.ts";
import { buildAgentService } from "./agent_service.ts";
import {
  type AgentDependencies,
  buildDependencies,
} from "./agent_dependencies.ts";
import { BranchExchange } from "./branch_exchange.ts";
import { ModelServer } from "./model_server.ts";
import type { AgentOptions } from "./options.ts";
import { type OrderedEngine, OrderQueue } from "./order_queue.ts";
import { PlainServer } from "./plain_server.ts";
import { GrpcRelay } from "./relay.ts";
import { RunTable } from "./run_table.ts";
import { buildStateDump } from "./state_dump.ts";

/** Default number of models loaded at once: a new weights version is loaded beside the old one. */
const DEFAULT_MODEL_SLOTS = 2;
const SWEEP_INTERVAL_MS = 100;
/** Sweep interval without live runs: there is little to sweep, and a sweep costs about 0.1 ms. */
const IDLE_SWEEP_INTERVAL_MS = 500;
const DRAIN_POLL_INTERVAL_MS = 20;
/** How long a planned stop waits for the readers of ended runs to reconnect. */
const UNREAD_TIMEOUT_MS = 3000;
/** How long a planned stop waits for the ends of cancelled runs to reach their readers. */
const END_DELIVERY_TIMEOUT_MS = 500;

/** Thrown when an agent can't open its listener. */
export class ListenError extends Error {
  readonly failure: ListenFailure;

  /** @param failure The address and the reason. */
  constructor(failure: ListenFailure) {
    super(`Could not listen on ${failure.address}: ${failure.message}`);
    this.failure = failure;
  }
}

/** A running agent. */
export class Agent {
  readonly agentIncarnation = randomUUID();
  readonly branches = BranchSet.create();
  readonly #options: AgentOptions;
  readonly #lifecycle = Lifecycle.create("agent");
  readonly #runs: RunTable;
  readonly #core: AgentCore;
  readonly #server: ServerHandler;
  readonly #fencingGate: FencingGate;
  readonly #listener: GrpcListener;
  readonly #channels: ChannelPool;
  #journal: ClaimsJournal | undefined;
  #stopped: Promise<void> | undefined;

  private constructor(options: AgentOptions, dependencies: AgentDependencies) {
    const { clock, log, listenAddress, security } = options;
    this.#options = options;
    this.#runs = RunTable.create({ clock });
    this.#fencingGate = FencingGate.create(dependencies.readFencingNumber);
    this.#listener = GrpcListener.create(listenAddress, security);
    this.#channels = ChannelPool.create({ security, clock });
    this.#server = this.#buildServer(dependencies);
    this.#core = AgentCore.create({
      agentIncarnation: this.agentIncarnation,
      branches: this.branches,
      runs: this.#runs,
      clock,
      log,
    }, this.#server);
    for (const owned of dependencies.owned) this.#lifecycle.own(owned);
    this.#lifecycle.own(this.#channels);
    this.#lifecycle.own(this.#listener);
  }

  /**
   * Creates an agent and opens its listener.
   *
   * @param options Settings.
   * @param dependencies Adapters of the backend server and the store, by default the real ones.
   * @returns An agent that accepts connections.
   */
  static async create(
    options: AgentOptions,
    dependencies: AgentDependencies = buildDependencies(options),
  ): Promise<Agent> {
    const agent = new Agent(options, dependencies);
    await agent.#start(dependencies);
    return agent;
  }

  /** `ip:port` that entries connect to. */
  get address(): string {
    return this.#listener.address;
  }

  /**
   * Performs a planned stop: refuses new runs, waits until all runs have ended and were read, then
   * closes all resources. Runs that are still live after `drainMs` are cancelled.
   *
   * @returns Resolves when all resources are closed.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#drainAndClose();
    return this.#stopped;
  }

  /** Closes all resources immediately, like a crash. */
  async kill(): Promise<void> {
    this.#stopped ??= this.#lifecycle.stop();
    this.#listener.close();
    await this.#stopped;
  }

  /** @returns The agent's state, ready for `JSON.stringify`. */
  dumpState(): ReturnType<typeof buildStateDump> {
    const { instanceId, zone, pool, clock } = this.#options;
    return buildStateDump({
      instanceId,
      zone,
      pool,
      address: this.address,
      agentIncarnation: this.agentIncarnation,
      core: this.#core,
      server: this.#server,
      runs: this.#runs,
      branches: this.branches,
      gate: this.#fencingGate,
      journal: this.#journal,
      clock,
    });
  }

  async #start(dependencies: AgentDependencies): Promise<void> {
    this.#listener.addService(
      OPTIMIZED_AGENT_SERVICE,
      this.#buildService(dependencies),
    );
    const listening = await this.#listener.start();
    if (listening.isErr) {
      await this.#lifecycle.stop();
      throw new ListenError(listening.error);
    }
    this.#openJournal(dependencies);
    this.#lifecycle.task("sweep", (signal) => this.#sweep(signal));
    if (this.#server.kind === "engine") {
      const { watch, follower } = this.#server.model;
      await watch.poll();
      this.#lifecycle.task("engine-watch", (signal) => watch.run(signal));
      this.#lifecycle.task("cache-follower", (signal) => follower.run(signal));
    }
    this.#options.log.info({ address: this.address }, "Agent listens");
  }

  #buildServer(dependencies: AgentDependencies): ServerHandler {
    const { clock, log, instanceId } = this.#options;
    switch (dependencies.server.kind) {
      case "engine": {
        const model = ModelServer.create({
          engine: dependencies.server.engine,
          clock,
          log,
          seed: instanceId,
          liveRuns: () => this.#runs.live,
        });
        return { kind: "engine", model };
      }
      case "service": {
        const plain = PlainServer.create({
          service: dependencies.server.service,
          clock,
          journal: () => this.#journal,
          relay: GrpcRelay.create({ channels: this.#channels, clock }),
        });
        return { kind: "service", plain };
      }
    }
  }

  #buildService(dependencies: AgentDependencies) {
    const { clock, log, instanceId } = this.#options;
    const setDraining = (isDraining: boolean) =>
      this.#core.setDraining(isDraining);
    return buildAgentService({
      core: this.#core,
      branches: BranchExchange.create({
        set: this.branches,
        processId: instanceId,
        address: () => this.address,
        log,
      }),
      orders: OrderQueue.create({
        gate: this.#fencingGate,
        clock,
        server: this.#orderedEngine(dependencies),
        setDraining,
        onOrderSent: () => this.#refreshEngineInfo(),
        signal: this.#lifecycle.signal,
      }),
      reportModels: () => this.#reportModels(),
      dumpState: () => JSON.stringify(this.dumpState()),
      clock,
      log,
    });
  }

  #orderedEngine(dependencies: AgentDependencies): OrderedEngine | undefined {
    if (dependencies.server.kind !== "engine") return undefined;
    if (this.#server.kind !== "engine") return undefined;
    const { replicas } = this.#server.model;
    return { engine: dependencies.server.engine, replicas };
  }

  #reportModels(): ModelsReport {
    const leaving = this.#core.isLeaving;
    const slots = this.#options.modelSlots ?? DEFAULT_MODEL_SLOTS;
    if (this.#server.kind !== "engine") {
      return { leaving, slots: 0, maxRunning: 0, replicas: [] };
    }
    const { admission, replicas, watch } = this.#server.model;
    return {
      leaving: leaving || !watch.isUp,
      slots,
      maxRunning: admission.maxRunning,
      replicas: replicas.report(),
    };
  }

  async #refreshEngineInfo(): Promise<void> {
    if (this.#server.kind !== "engine") return;
    await this.#server.model.watch.readInfo();
  }

  #openJournal(dependencies: AgentDependencies): void {
    const { agentIncarnation, address } = this;
    this.#journal = dependencies.openJournal?.({ agentIncarnation, address });
  }

  async #sweep(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      this.#runs.sweep();
      if (this.#server.kind === "engine") this.#server.model.admission.sweep();
      else this.#server.plain.answers.sweep();
      const isIdle = this.#runs.liveCount === 0;
      await clock.sleep(
        isIdle ? IDLE_SWEEP_INTERVAL_MS : SWEEP_INTERVAL_MS,
        signal,
      );
    }
  }

  async #drainAndClose(): Promise<void> {
    const { drainMs } = this.#options;
    this.#core.stopAccepting();
    await this.#waitWhileBusy(drainMs);
    for (const run of this.#runs.live) run.cancel("The agent stops");
    await this.#waitWhileBusy(END_DELIVERY_TIMEOUT_MS);
    await this.#journal?.close();
    await this.#lifecycle.stop();
  }

  async #waitWhileBusy(limitMs: number): Promise<void> {
    const { clock } = this.#options;
    const untilMs = clock.nowMs() + limitMs;
    while (this.#isBusy() && clock.nowMs() < untilMs) {
      await clock.sleep(DRAIN_POLL_INTERVAL_MS);
    }
  }

  #isBusy(): boolean {
    return this.#runs.liveCount > 0 || this.#core.attachedCount > 0 ||
      this.#runs.hasUnread(UNREAD_TIMEOUT_MS);
  }
}
