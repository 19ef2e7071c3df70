/** Fleet, oracle and background tasks that the commands of a fuzzing run use. */
import { AdminClient } from "../admin/mod.ts";
import { SAMPLE_ADMIN_KEY, SAMPLE_TEAM } from "../cli/sample_team.ts";
import {
  callBooking,
  callEcho,
  callNonStreaming,
  callStreaming,
  type ChatBody,
  chatBody,
} from "./_calls.ts";
import { type AgentSlot, type EntrySlot, ProofFleet } from "./_fleet.ts";
import { type Booking, Oracle, type ReportedChange } from "./_oracle.ts";

/** Timeout for the recovery of an entry after the last fault, in ms. */
const RECOVERY_TIMEOUT_MS = 30_000;
const RETRY_MS = 50;
const FIRST_LIMIT = 1_000_000;

/** State of one fuzzing run. */
export class World {
  readonly fleet: ProofFleet;
  readonly oracle: Oracle;
  readonly #pending = new Set<Promise<void>>();
  readonly #lockedIds = new Set<string>();
  #count = 0;

  private constructor(fleet: ProofFleet) {
    this.fleet = fleet;
    this.oracle = Oracle.create(fleet);
  }

  /** @returns World with a new fleet. */
  static async create(): Promise<World> {
    return new World(await ProofFleet.create());
  }

  /** @returns Entry at this index modulo the number of entries. */
  entry(index: number): EntrySlot {
    const { entries } = this.fleet;
    return entries[index % entries.length]!;
  }

  /** @returns Agent slot at this index modulo the number of slots. */
  agentSlot(index: number): AgentSlot {
    const { agentSlots } = this.fleet;
    return agentSlots[index % agentSlots.length]!;
  }

  /** Lets a task run while further commands are executed; {@link settleAndCheck} waits for it. */
  runInBackground(work: Promise<void>): void {
    const failed = (error: unknown) =>
      void this.oracle.violations.push(`Background task failed: ${error}`);
    const done = work.catch(failed).finally(() => this.#pending.delete(done));
    this.#pending.add(done);
  }

  /** Runs a background task on a process, unless another such task is running on it. */
  runExclusively(id: string, work: () => Promise<void>): void {
    if (this.#lockedIds.has(id)) return;
    this.#lockedIds.add(id);
    this.runInBackground(work().finally(() => this.#lockedIds.delete(id)));
  }

  /** Makes a chat completion call and checks its outcome. */
  async chat(slot: EntrySlot, body: ChatBody, isWhole: boolean): Promise<void> {
    const call = isWhole ? callNonStreaming : callStreaming;
    this.oracle.checkChat(body, await call(slot, body));
  }

  /** Calls the repeatable route and checks the outcome. */
  async echo(slot: EntrySlot): Promise<void> {
    const word = `echo-${++this.#count}`;
    this.oracle.checkEcho(word, await callEcho(slot, word));
  }

  /** Makes a booking and checks its outcome. */
  async book(
    slot: EntrySlot,
    booking: Booking,
    hasKey: boolean,
  ): Promise<void> {
    const word = hasKey ? booking.word : `${booking.word}-${++this.#count}`;
    const body = { ...booking, word };
    const result = await callBooking(slot, body, hasKey ? word : "");
    this.oracle.checkBooking(body, result);
  }

  /** Changes the configuration and records the reported outcome. */
  async configure(slot: EntrySlot): Promise<void> {
    const value = FIRST_LIMIT + ++this.#count;
    const url = `http://${slot.entry.adminAddress}`;
    const client = AdminClient.create({
      url,
      key: SAMPLE_ADMIN_KEY,
      writer: "fuzz",
    });
    const change = { path: "/limits/tokensPerSecond", value };
    const answer = await client.patch(SAMPLE_TEAM, change);
    await client.close();
    this.oracle.recordReportedChange(
      answer.match<ReportedChange>({
        Ok: ({ version }) => ({
          value,
          outcome: "accepted",
          revision: BigInt(version),
        }),
        Err: ({ kind }) => ({
          value,
          outcome: kind === "unknown" ? "unknown" : "refused",
          revision: 0n,
        }),
      }),
    );
  }

  /** Removes all faults, waits until each entry has recovered, and checks all invariants. */
  async settleAndCheck(): Promise<string[]> {
    await this.#removeFaults();
    while (this.#pending.size > 0) await Promise.all(this.#pending);
    for (const slot of this.fleet.entries) await this.#waitForRecovery(slot);
    this.oracle.checkVersionOrder();
    this.oracle.checkFinalState();
    return this.oracle.violations;
  }

  async #removeFaults(): Promise<void> {
    const { kv, entries, engines, services } = this.fleet;
    await kv.setFaults({
      down: false,
      silent: false,
      slowMs: 0,
      loseNextAnswer: false,
      loseNextRequest: false,
    });
    const up = entries.filter(({ isUp }) => isUp);
    await Promise.all(up.map(({ list }) => list.up()));
    for (const engine of engines) {
      await engine.setFaults({ loseEvents: 0, lateEventsMs: 0 });
      await engine.up();
    }
    for (const service of services) {
      await service.setFaults({ dropAnswers: 0, dropRequests: 0 });
    }
  }

  /** Waits until an entry serves model calls and bookings and uses the last configuration. */
  async #waitForRecovery(slot: EntrySlot): Promise<void> {
    const untilMs = performance.now() + RECOVERY_TIMEOUT_MS;
    const newWord = () => `last-${++this.#count}`;
    await this.#waitUntil(untilMs, `${slot.id} serves models`, async () => {
      const result = await callNonStreaming(slot, chatBody(newWord(), 4));
      return result.kind === "answer";
    });
    await this.#waitUntil(untilMs, `${slot.id} serves bookings`, async () => {
      const key = newWord();
      const body = { word: key, variant: 0 };
      const result = await callBooking(slot, body, key);
      this.oracle.checkBooking(body, result);
      return result.kind === "answer";
    });
    await this.#waitUntil(
      untilMs,
      `${slot.id} uses the last configuration`,
      () => Promise.resolve(this.oracle.hasLastVersion(slot)),
    );
  }

  async #waitUntil(
    untilMs: number,
    goal: string,
    isMet: () => Promise<boolean>,
  ): Promise<void> {
    while (!await isMet()) {
      if (performance.now() > untilMs) {
        this.oracle.violations.push(`Did not recover in time: ${goal}`);
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
  }
}
