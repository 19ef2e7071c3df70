/** Test cluster: agents that share one store, on simulated time, with fault injection. */
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Result } from "true-myth/result";
import { type Clock, createSilentLogger } from "../base/mod.ts";
import { type KeyValueStore, MemoryStore } from "../store/mod.ts";
import type {
  ClaimAnswer,
  ClaimRef,
  ClaimRefusal,
  ClaimRequest,
  ClaimTicket,
} from "./claims_journal.ts";
import type { JournalTuning } from "./_options.ts";
import { StoreClaimsJournal } from "./store_claims_journal.ts";

/** Retry window of the claims in tests. */
export const WINDOW_MS = 20_000;
/** Settings with short time limits. */
export const TEST_TUNING: Partial<JournalTuning> = {
  random: () => 0.5,
  maxClaimsPerCommit: 2,
  endFlushDelayMs: 2000,
  maxForwardDelayMs: 2000,
  minOwnershipMs: 5000,
  maxMemoryGrantMs: 30_000,
};
const EVENT_LOOP_TURNS = 4;

interface Sleeper {
  wakeMs: number;
  wake: () => void;
}

/** Simulated time, which only tests advance. */
export class SimulatedTime {
  nowMs = 0;
  readonly #sleepers = new Set<Sleeper>();

  /** Resolves `ms` of simulated time from now, or when the signal is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const wake = () => {
        this.#sleepers.delete(sleeper);
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      const sleeper = { wakeMs: this.nowMs + ms, wake };
      this.#sleepers.add(sleeper);
      signal?.addEventListener("abort", wake);
    });
  }

  /** Advances the time and wakes all sleepers that become due, in order. */
  async advance(ms: number): Promise<void> {
    const endMs = this.nowMs + ms;
    await runPendingTasks();
    for (
      let next = this.#nextSleeper(endMs);
      next;
      next = this.#nextSleeper(endMs)
    ) {
      this.nowMs = Math.max(this.nowMs, next.wakeMs);
      next.wake();
      await runPendingTasks();
    }
    this.nowMs = endMs;
  }

  #nextSleeper(endMs: number): Sleeper | undefined {
    const due = [...this.#sleepers].filter(({ wakeMs }) => wakeMs <= endMs);
    return due.sort((one, other) => one.wakeMs - other.wakeMs)[0];
  }
}

/** Runs all pending tasks that don't wait for simulated time. */
export async function runPendingTasks(): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn++) await nextTurn();
}

/** A simulated agent process with its journal, clock and connection to the store. */
export class TestAgent {
  readonly address: string;
  readonly incarnation: string;
  readonly journal: StoreClaimsJournal;
  isPartitioned = false;
  isDead = false;
  wallSkewMs = 0;
  #paused: Promise<void> | undefined;
  #endPause: () => void = () => {};

  constructor(
    readonly cluster: TestCluster,
    { address, incarnation }: { address: string; incarnation: string },
  ) {
    this.address = address;
    this.incarnation = incarnation;
    this.journal = StoreClaimsJournal.create({
      ...TEST_TUNING,
      ...cluster.tuning,
      store: this.#store(),
      clock: this.#clock(),
      address,
      agentIncarnation: incarnation,
      log: createSilentLogger(),
    });
  }

  /** True if the process is neither dead nor paused. */
  get isRunning(): boolean {
    return !this.isDead && !this.#paused;
  }

  /** Pauses the process until {@link resume}; calls that it has sent still reach the store. */
  pause(): void {
    this.#paused ??= new Promise((resolve) => this.#endPause = resolve);
  }

  resume(): void {
    this.#paused = undefined;
    this.#endPause();
  }

  async #whenRunning<T>(value: T): Promise<T> {
    while (this.#paused) await this.#paused;
    return this.isDead ? await new Promise<T>(() => {}) : value;
  }

  #clock(): Clock {
    const { time } = this.cluster;
    return {
      nowMs: () => time.nowMs,
      wallMs: () => time.nowMs + this.wallSkewMs,
      sleep: async (ms, signal) =>
        await this.#whenRunning(await time.sleep(ms, signal)),
    };
  }

  #store(): KeyValueStore {
    const { store } = this.cluster;
    const cutOff = MemoryStore.create();
    cutOff.faults.down = true;
    const reached = () => this.isPartitioned ? cutOff : store;
    const partial: Partial<KeyValueStore> = {
      get: async (key) => await this.#whenRunning(await reached().get(key)),
      list: async (key) => await this.#whenRunning(await reached().list(key)),
      commit: async (expect, writes) =>
        await this.#whenRunning(await reached().commit(expect, writes)),
    };
    return partial as KeyValueStore;
  }
}

/** A granted claim, with the agent that holds it. */
export interface Grant {
  agent: TestAgent;
  key: string;
  ticket: ClaimTicket;
  requestedMs: number;
}

/** A call that was forwarded. */
export interface Execution {
  runId: string;
  requestedMs: number;
  forwardedMs: number;
}

/** A claim and its result. */
export interface ClaimAttempt {
  agent: TestAgent;
  key: string;
  runId: string;
  ref: ClaimRef;
  result: Result<ClaimAnswer, ClaimRefusal>;
  grant: Grant | undefined;
}

/** Options of a test claim. */
export interface ClaimOptions {
  service?: "memory" | "refuse";
  unreachable?: boolean;
  /** Overrides the setting of the service, as while a configuration change propagates. */
  whenStoreDown?: "memory" | "refuse";
}

/** A store, several agents, and a record of all forwarded calls. */
export class TestCluster {
  readonly time = new SimulatedTime();
  readonly store: MemoryStore;
  readonly agents: TestAgent[] = [];
  readonly grants: Grant[] = [];
  readonly executions = new Map<string, Execution[]>();
  readonly answered: ClaimAttempt[] = [];
  #ids = 0;

  constructor(
    agentCount: number,
    readonly tuning: Partial<JournalTuning> = {},
  ) {
    const { time } = this;
    const clock: Clock = {
      nowMs: () => time.nowMs,
      wallMs: () => time.nowMs,
      sleep: (ms, signal) => time.sleep(ms, signal),
    };
    this.store = MemoryStore.create({ clock });
    for (let index = 0; index < agentCount; index++) this.replace(index);
  }

  /** Replaces an agent by a new process at the same address; the previous one is dead. */
  replace(index: number): TestAgent {
    const previous = this.agents[index];
    if (previous) previous.isDead = true;
    const address = `10.0.0.${index}:1`;
    const incarnation = `i${this.#ids++}`;
    const agent = new TestAgent(this, { address, incarnation });
    this.agents[index] = agent;
    return agent;
  }

  /** Claims a key; keys with the same first character are in the same shard. */
  async claim(
    index: number,
    key: string,
    options: ClaimOptions = {},
  ): Promise<ClaimAttempt> {
    const agent = this.agents[index]!;
    const requestedMs = this.time.nowMs;
    const request = this.#request(key, options);
    if (options.unreachable) {
      request.unreachableAddresses = this.agents.map(({ address }) => address);
    }
    const result = await agent.journal.claim(request);
    const answer = result.unwrapOr(undefined);
    const ticket = answer?.kind === "granted" ? answer.ticket : undefined;
    const grant = ticket && { agent, key, ticket, requestedMs };
    const { runId } = request;
    const attempt = { agent, key, runId, ref: request, result, grant };
    this.answered.push(attempt);
    if (grant) this.grants.push(grant);
    return attempt;
  }

  /** Claims a key and advances the time until the claim is answered. */
  async claimAndWait(
    index: number,
    key: string,
    options: ClaimOptions = {},
  ): Promise<string> {
    const attempt = this.claim(index, key, options);
    let isDone = false;
    void attempt.then(() => isDone = true);
    while (!isDone) await this.time.advance(10);
    return describeResult((await attempt).result);
  }

  /** Forwards a granted call, if its ticket allows it. */
  forward(grant: Grant): boolean {
    if (!grant.agent.isRunning || !grant.ticket.begin()) return false;
    const scope = `${grant.ticket.ref.service} ${grant.key}`;
    const before = this.executions.get(scope) ?? [];
    const { runId } = grant.ticket.ref;
    const execution = {
      runId,
      requestedMs: grant.requestedMs,
      forwardedMs: this.time.nowMs,
    };
    this.executions.set(scope, [...before, execution]);
    return true;
  }

  /** True if the call of the run was forwarded. */
  hasRun(runId: string): boolean {
    const executions = [...this.executions.values()].flat();
    return executions.some((execution) => execution.runId === runId);
  }

  /** Stops all agents, with the store down. */
  async stop(): Promise<void> {
    this.store.faults.down = true;
    const closed = this.agents.map(({ journal }) => journal.close());
    await this.time.advance(10_000);
    await Promise.all(closed);
  }

  #request(key: string, options: ClaimOptions): ClaimRequest {
    const { service = "refuse", whenStoreDown = service } = options;
    const keyDigest = new Uint8Array(16);
    keyDigest.set(Buffer.from(key), 1);
    return {
      team: "t",
      service,
      keyDigest,
      fingerprint: new Uint8Array([1]),
      runId: `r${this.#ids++}`,
      settings: {
        retryWindowMs: WINDOW_MS,
        timeoutMs: 1000,
        whenStoreDown,
      },
    };
  }
}

/** Returns the kind of an answer or refusal, with the cause or the kind of end in its place. */
export function describeResult(
  result: Result<ClaimAnswer, ClaimRefusal>,
): string {
  if (result.isErr) {
    const refusal = result.error;
    return refusal.kind === "not_run" ? refusal.cause : refusal.kind;
  }
  const answer = result.value;
  return answer.kind === "ended" ? answer.end.kind : answer.kind;
}
