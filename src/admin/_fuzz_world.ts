/**
 * A small fleet under faults, and an oracle that watches it: what the store's table really took, what
 * callers were told, and what each process has had in force.
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

/** Nodes of the world; the first two have administration servers. */
export const NODES = ["n0", "n1", "n2", "n3"] as const;
/** Teams that are written. */
export const TEAMS = ["a", "b"] as const;
/** The agent that entries push to and start from. */
export const AGENT = "agent";

/** A write as its caller saw it. */
export interface Told {
  writeId: string;
  team: string;
  ifMatch: bigint | undefined;
  outcome: "accepted" | "refused" | "unknown";
  revision: bigint;
}

/** A write that took effect. */
export interface Taken {
  team: string;
  revision: bigint;
  writeId: string;
}

const SYNC = {
  startJitterMs: 0,
  exchangeIntervalMs: 4,
  maxStartMs: 10,
  isolationLimitMs: 1000,
  seedAddresses: () => [AGENT],
};
const SETTLE_MS = 30;
const QUIET_MS = 20_000;

/** Fleet, faults and oracle. */
export class FuzzWorld {
  readonly store = MemoryStore.create({ progressMs: 5 });
  readonly fleet: LocalFleet;
  readonly agent = BranchSet.create();
  readonly told: Told[] = [];
  readonly taken: Taken[] = [];
  readonly violations: string[] = [];
  readonly #admins = new Map<string, AdminServer>();
  readonly #pending = new Set<Promise<void>>();
  #lastWrite = 0;

  private constructor(random: () => number) {
    const { store } = this;
    this.fleet = LocalFleet.create({ store, random, sync: SYNC });
    this.fleet.agents.set(AGENT, this.agent);
    store.table.subscribe(prefixRange(TEAMS_PREFIX), 0n, (events) => {
      for (const event of events) this.taken.push(takenBy(event, store));
    });
    for (const address of NODES) this.#start(address);
  }

  /** @returns A world with all nodes started. */
  static create(random: () => number): FuzzWorld {
    return new FuzzWorld(random);
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

  /** @returns An id for a write. */
  nextWriteId(): string {
    return `write-${++this.#lastWrite}`;
  }

  /** Lets something go on beside the commands that follow. */
  beside(work: Promise<void>): void {
    const done = work.finally(() => this.#pending.delete(done));
    this.#pending.add(done);
  }

  async restart(address: string): Promise<void> {
    await this.fleet.stop(address);
    this.#start(address);
  }

  /** Ends all faults, waits until all is still, and compares with the oracle. */
  async settle(): Promise<void> {
    Object.assign(this.store.faults, {
      down: false,
      loseNextAnswer: false,
      loseNextRequest: false,
      lateNextEffectMs: 0,
    });
    this.fleet.isolated.clear();
    for (const { store } of this.fleet.nodes.values()) store.open = true;
    await Promise.all(this.#pending);
    const untilMs = performance.now() + QUIET_MS;
    while (!this.#converged()) {
      assert(performance.now() < untilMs, `Not converged: ${this.#describe()}`);
      await systemClock.sleep(2);
    }
    this.#checkTold();
    assert.deepEqual(this.violations, []);
  }

  async close(): Promise<void> {
    await this.fleet.stopAll();
    this.store.close();
  }

  #start(address: string): void {
    const node = this.fleet.start(address);
    this.#watch(node);
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
        settleMs: SETTLE_MS,
      }),
    );
  }

  /** A process never goes back, and has nothing in force that was never written. */
  #watch({ address, branches }: FleetNode): void {
    const highest = new Map<string, bigint>();
    branches.onChange(({ team, revision, json }) => {
      if (revision <= (highest.get(team) ?? 0n)) {
        this.violations.push(`${address} went back on ${team} to ${revision}`);
      }
      highest.set(team, revision);
      const known = json.length === 0 ||
        this.taken.some((taken) =>
          taken.team === team && taken.revision === revision &&
          taken.writeId === writeIdOf(json)
        );
      if (!known) this.violations.push(`${address} has an unknown ${team}`);
    });
  }

  #converged(): boolean {
    const live = this.store.table.list(prefixRange(TEAMS_PREFIX));
    for (const { branches, sync } of this.fleet.nodes.values()) {
      if (branches.completeTo < (this.taken.at(-1)?.revision ?? 0n)) {
        return false;
      }
      const held = branches.all().filter(({ json }) => json.length > 0);
      if (held.length !== live.length || sync.isolated) return false;
      for (const { key, modRevision } of live) {
        if (branches.revisionOf(teamOfKey(key)) !== modRevision) return false;
      }
    }
    return true;
  }

  #checkTold(): void {
    for (const told of this.told) {
      const effects = this.taken.filter(({ writeId }) =>
        writeId === told.writeId
      );
      const what = `${told.writeId}, told ${told.outcome}`;
      assert(effects.length <= 1, `${what}, took effect twice`);
      if (told.outcome === "refused") assert.equal(effects.length, 0, what);
      if (told.outcome === "accepted") {
        assert.equal(effects[0]?.revision, told.revision, what);
      }
      if (told.ifMatch === undefined || !effects[0]) continue;
      assert.equal(this.#before(effects[0]), told.ifMatch, `${what}, blind`);
    }
  }

  /** Revision that a write replaced. */
  #before(write: Taken): bigint {
    const earlier = this.taken.filter(({ team, revision }) =>
      team === write.team && revision < write.revision
    );
    return earlier.at(-1)?.revision ?? 0n;
  }

  #describe(): string {
    const nodes = [...this.fleet.nodes.values()].map(({ address, sync }) =>
      JSON.stringify({ address, state: sync.state() })
    );
    const live = TEAMS.map((team) =>
      `${team}@${this.store.table.get(teamKey(team))?.modRevision}`
    );
    return `${live.join(" ")} ${nodes.join(" ")}`;
  }
}

function takenBy(event: TableEvent, store: MemoryStore): Taken {
  if (event.kind === "put") {
    const { key, modRevision, value } = event.entry;
    const writeId = writeIdOf(value);
    return { team: teamOfKey(key), revision: modRevision, writeId };
  }
  const { key, revision } = event;
  const team = teamOfKey(key);
  const head = store.table.get(`/cicadahitch/history/${team}/head`);
  return { team, revision, writeId: head ? writeIdOf(head.value) : "" };
}

function writeIdOf(json: Uint8Array): string {
  return decodeStored(json).map(({ writeId }) => writeId).unwrapOr("");
}
