/**
 * A small fleet with injected faults, and an oracle for it. The oracle compares the writes that the
 * store committed, the outcomes reported to callers and the branches in force in each process.
 */
import assert from "node:assert/strict";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import {
  BranchSet,
  decodeStored,
  teamKey,
  teamOfKey,
  TEAMS_PREFIX,
} from "../config/mod.ts";
import { type FleetNode, LocalFleet } from "../config/local_fleet.ts";
import { MemoryStore } from "../store/memory_store.ts";
import { prefixRange, type TableEvent } from "../store/revision_table.ts";
import type { AdminCommands } from "./commands.ts";
import { AdminServer } from "./server.ts";

/** Addresses of the nodes; the first two have administration servers. */
export const NODES = ["n0", "n1", "n2", "n3"] as const;
/** Teams that the test writes. */
export const TEAMS = ["a", "b"] as const;
/** Address of the agent that entries push branches to and fetch branches from. */
export const AGENT = "agent";

/** A write with the outcome reported to its caller. */
export interface ReportedWrite {
  writeId: string;
  team: string;
  ifMatch: bigint | undefined;
  outcome: "accepted" | "refused" | "unknown";
  revision: bigint;
}

/** A write that the store committed. */
export interface CommittedWrite {
  team: string;
  revision: bigint;
  writeId: string;
}

const SYNC_OPTIONS = {
  startJitterMs: 0,
  exchangeIntervalMs: 4,
  maxStartMs: 10,
  isolationLimitMs: 1000,
  seedAddresses: () => [AGENT],
};
const RESOLVE_TIMEOUT_MS = 30;
const CONVERGENCE_TIMEOUT_MS = 20_000;

/** A fleet with fault injection and the oracle that checks it. */
export class FuzzHarness {
  readonly store = MemoryStore.create({ progressMs: 5 });
  readonly fleet: LocalFleet;
  readonly agent = BranchSet.create();
  readonly reportedWrites: ReportedWrite[] = [];
  readonly commits: CommittedWrite[] = [];
  readonly violations: string[] = [];
  readonly #admins = new Map<string, AdminServer>();
  readonly #backgroundTasks = new Set<Promise<void>>();
  #lastWrite = 0;

  private constructor(random: () => number) {
    const { store } = this;
    this.fleet = LocalFleet.create({ store, random, sync: SYNC_OPTIONS });
    this.fleet.agents.set(AGENT, this.agent);
    store.table.subscribe(prefixRange(TEAMS_PREFIX), 0n, (events) => {
      for (const event of events) this.commits.push(toCommitted(event, store));
    });
    for (const address of NODES) this.#start(address);
  }

  /** @returns A harness with all nodes started. */
  static create(random: () => number): FuzzHarness {
    return new FuzzHarness(random);
  }

  /** @returns The node at this address. */
  node(address: string): FleetNode {
    const node = this.fleet.nodes.get(address);
    assert(node);
    return node;
  }

  /** @returns The administration commands at this address. */
  commands(address: string): AdminCommands {
    const admin = this.#admins.get(address);
    assert(admin);
    return admin.commands;
  }

  /** @returns A new write id. */
  nextWriteId(): string {
    return `write-${++this.#lastWrite}`;
  }

  /** Runs a task concurrently with the commands that follow. */
  runInBackground(work: Promise<void>): void {
    const done = work.finally(() => this.#backgroundTasks.delete(done));
    this.#backgroundTasks.add(done);
  }

  async restart(address: string): Promise<void> {
    await this.fleet.stop(address);
    this.#start(address);
  }

  /** Clears all faults, waits until all nodes have converged, and verifies the outcomes. */
  async convergeAndVerify(): Promise<void> {
    Object.assign(this.store.faults, {
      down: false,
      loseNextAnswer: false,
      loseNextRequest: false,
      lateNextEffectMs: 0,
    });
    this.fleet.isolated.clear();
    for (const { store } of this.fleet.nodes.values()) store.open = true;
    await Promise.all(this.#backgroundTasks);
    const untilMs = performance.now() + CONVERGENCE_TIMEOUT_MS;
    while (!this.#hasConverged()) {
      assert(
        performance.now() < untilMs,
        `Not converged: ${this.#describeState()}`,
      );
      await systemClock.sleep(2);
    }
    this.#checkReportedWrites();
    assert.deepEqual(this.violations, []);
  }

  async close(): Promise<void> {
    await this.fleet.stopAll();
    this.store.close();
  }

  #start(address: string): void {
    const node = this.fleet.start(address);
    this.#checkBranchChanges(node);
    if (address !== "n0" && address !== "n1") return;
    this.#admins.set(
      address,
      AdminServer.create({
        address: "",
        keySha256: "",
        store: node.store,
        branches: node.branches,
        sync: node.sync,
        processId: address,
        peerAddress: () => address,
        clock: systemClock,
        log: createSilentLogger(),
        resolveTimeoutMs: RESOLVE_TIMEOUT_MS,
      }),
    );
  }

  /** Checks that a process never reverts to an older revision or holds a branch never written. */
  #checkBranchChanges({ address, branches }: FleetNode): void {
    const highest = new Map<string, bigint>();
    branches.onChange(({ team, revision, json }) => {
      if (revision <= (highest.get(team) ?? 0n)) {
        this.violations.push(
          `${address} reverted ${team} to revision ${revision}`,
        );
      }
      highest.set(team, revision);
      const known = json.length === 0 ||
        this.commits.some((commit) =>
          commit.team === team &&
          commit.revision === revision &&
          commit.writeId === decodeWriteId(json)
        );
      if (!known) this.violations.push(`${address} holds an unwritten ${team}`);
    });
  }

  #hasConverged(): boolean {
    const live = this.store.table.list(prefixRange(TEAMS_PREFIX));
    for (const { branches, sync } of this.fleet.nodes.values()) {
      if (branches.completeTo < (this.commits.at(-1)?.revision ?? 0n)) {
        return false;
      }
      const held = branches.all().filter(({ json }) => json.length > 0);
      if (held.length !== live.length || sync.isolated) return false;
      for (const { key, modPosition } of live) {
        const held = branches.revisionOf(teamOfKey(key));
        if (held !== modPosition.revision) return false;
      }
    }
    return true;
  }

  #checkReportedWrites(): void {
    for (const report of this.reportedWrites) {
      const effects = this.commits.filter(({ writeId }) =>
        writeId === report.writeId
      );
      const what = `${report.writeId}, reported as ${report.outcome}`;
      assert(effects.length <= 1, `${what}, took effect twice`);
      if (report.outcome === "refused") assert.equal(effects.length, 0, what);
      if (report.outcome === "accepted") {
        assert.equal(effects[0]?.revision, report.revision, what);
      }
      if (report.ifMatch === undefined || !effects[0]) continue;
      assert.equal(
        this.#findReplacedRevision(effects[0]),
        report.ifMatch,
        `${what}, replaced a revision other than ifMatch`,
      );
    }
  }

  /** Returns the revision that a write replaced; 0 if the team was never written before. */
  #findReplacedRevision(write: CommittedWrite): bigint {
    const earlier = this.commits.filter(({ team, revision }) =>
      team === write.team && revision < write.revision
    );
    return earlier.at(-1)?.revision ?? 0n;
  }

  #describeState(): string {
    const nodes = [...this.fleet.nodes.values()].map(({ address, sync }) =>
      JSON.stringify({ address, state: sync.state() })
    );
    const live = TEAMS.map((team) =>
      `${team}@${this.store.table.get(teamKey(team))?.modPosition}`
    );
    return `${live.join(" ")} ${nodes.join(" ")}`;
  }
}

function toCommitted(
  event: TableEvent,
  store: MemoryStore,
): CommittedWrite {
  if (event.kind === "put") {
    const { key, modPosition, value } = event.entry;
    const writeId = decodeWriteId(value);
    const { revision } = modPosition;
    return { team: teamOfKey(key), revision, writeId };
  }
  const { key, position: { revision } } = event;
  const team = teamOfKey(key);
  const head = store.table.get(`/cicadahitch/history/${team}/head`);
  return { team, revision, writeId: head ? decodeWriteId(head.value) : "" };
}

function decodeWriteId(json: Uint8Array): string {
  return decodeStored(json).map(({ writeId }) => writeId).unwrapOr("");
}
