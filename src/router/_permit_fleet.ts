/**
 * Simulates entries that send requests to one server with a limited rate, in virtual time. Each entry
 * runs the real {@link Permits} and {@link RateAnnouncements}; datagrams are delayed and lost.
 */
import { setImmediate as turn } from "node:timers/promises";
import type { Clock } from "../base/mod.ts";
import { poisson, seededRandom } from "../base/random.ts";
import {
  type Entry,
  SERVER_ID,
  type SimulatedEntry,
  startEntry,
} from "./_permit_entry.ts";
import { gossipIntervalFor } from "./gossip_interval.ts";
import { AnswerRateKind, incarnationKey } from "./model.ts";
import { type Caller, CallerKind } from "./permit_bucket.ts";
import { encodePermitMessage, type PermitMessage } from "./permit_message.ts";
import type { RateRow } from "./rate_announcements.ts";

/** Ways to keep one server's rate at all entries together. */
export const RateStrategy = {
  /** Each entry has an equal part of the rate. */
  even: "even",
  /** Each entry counts what the others report, as for the limits of workspaces. */
  reported: "reported",
  /** One entry grants permits, as the router does. */
  permits: "permits",
} as const;

/** One of {@link RateStrategy}. */
export type RateStrategy = typeof RateStrategy[keyof typeof RateStrategy];

/** Settings of a {@link PermitFleet}. */
export interface PermitFleetOptions {
  entryCount: number;
  seed: number;
  strategy?: RateStrategy;
  /** Part of all datagrams that are lost. */
  lossRate?: number;
}

interface Delivery {
  dueAtMs: number;
  run(): void;
}

const TICK_MS = 5;
const MAX_DELAY_MS = 10;
/** Time from a request to the answer that names the rate. */
const ANSWER_MS = 50;
/** Deadline of a request. */
const DEADLINE_MS = 15_000;
/** Bytes of a row about the server's rate in a datagram, which is sent all the same. */
const ROW_BYTES = 40;

/** Entries, and the server that names its rate. */
export class PermitFleet {
  readonly entries: SimulatedEntry[] = [];
  /** Times at which requests reached the server, in order. */
  readonly arrivedAtMs: number[] = [];
  /** Requests that returned at the time that they were told, and those of them that were sent. */
  returned = 0;
  sentOnReturn = 0;
  /** Rate that the server names; undefined: none. */
  perSecond: number | undefined;
  readonly #options: PermitFleetOptions;
  readonly #entries: Entry[] = [];
  readonly #byAddress = new Map<string, Entry>();
  readonly #random: () => number;
  readonly #clock: Clock;
  #deliveries: Delivery[] = [];
  #callers = 0;
  #nowMs = 100_000;

  private constructor(options: PermitFleetOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    this.#clock = {
      nowMs: () => this.#nowMs,
      wallMs: () => this.#nowMs,
      sleep: (ms, signal) => this.#sleep(ms, signal),
    };
    for (let i = 0; i < options.entryCount; i++) {
      this.#entries.push(this.#start(`10.0.${i >> 8}.${i & 255}`));
    }
    this.entries.push(...this.#entries);
    for (const entry of this.#entries) {
      this.#byAddress.set(entry.address, entry);
    }
  }

  /**
   * @param options Number of entries, seed and strategy.
   * @returns Entries that have just started; the server names no rate yet.
   */
  static create(options: PermitFleetOptions): PermitFleet {
    return new PermitFleet(options);
  }

  /** The current virtual time. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** @returns The entry that grants the permits, as the first live entry sees it. */
  granter(): SimulatedEntry {
    const up = this.#entries.filter(({ isUp }) => isUp);
    const [first] = up;
    const key = incarnationKey(first!.server.entry);
    const { address } = first!.members.responsibleFor(key, this.#nowMs);
    return this.#byAddress.get(address)!;
  }

  /** @param entry An entry that stops without notice, and loses what it knows. */
  kill(entry: SimulatedEntry): void {
    entry.isUp = false;
  }

  /** @param entry An entry that is down, and starts again at the same address. */
  restart(entry: SimulatedEntry): void {
    const { address, demand, partition, messages, bytes } = entry;
    const again = this.#start(address);
    Object.assign(entry, again, { demand, partition, messages, bytes });
  }

  /** @param entry An entry that announces that it stops. */
  stop(entry: SimulatedEntry): void {
    (entry as Entry).members.stop();
  }

  /**
   * @param ms Virtual time to simulate.
   * @param perSecond Requests per second, over all entries.
   * @param options Whether callers who are refused return when they are told to.
   */
  async run(
    ms: number,
    perSecond: number,
    { doReturn = false }: { doReturn?: boolean } = {},
  ): Promise<void> {
    const untilMs = this.#nowMs + ms;
    while (this.#nowMs < untilMs) {
      this.#nowMs += TICK_MS;
      this.#deliver();
      this.#arrive(perSecond, doReturn);
      for (const entry of this.#entries) this.#gossipIfDue(entry);
      await turn();
    }
  }

  /**
   * @param fromMs Start of the time in which the first window may begin.
   * @param windowMs Length of the window.
   * @returns Most requests that reached the server in a window.
   */
  mostInWindow(fromMs: number, windowMs: number): number {
    const times = this.arrivedAtMs.filter((atMs) => atMs >= fromMs);
    let most = 0;
    for (let from = 0, to = 0; to < times.length; to++) {
      while (times[to]! - times[from]! >= windowMs) from++;
      most = Math.max(most, to - from + 1);
    }
    return most;
  }

  #arrive(perSecond: number, doReturn: boolean): void {
    const up = this.#entries.filter(({ isUp }) => isUp);
    const demand = up.reduce((sum, entry) => sum + entry.demand, 0);
    if (demand === 0) return;
    for (
      let left = poisson(perSecond * TICK_MS / 1000, this.#random);
      left > 0;
      left--
    ) {
      let at = this.#random() * demand;
      const entry = up.find((one) => (at -= one.demand) < 0) ?? up[0]!;
      const holder = `caller-${++this.#callers}`;
      const caller = { kind: CallerKind.attempt, holder };
      void this.#request(entry, { caller, doReturn, isReturn: false });
    }
  }

  async #request(
    entry: Entry,
    { caller, doReturn, isReturn }: {
      caller: Caller;
      doReturn: boolean;
      isReturn: boolean;
    },
  ): Promise<void> {
    const isSent = await this.#mayRequest(entry, caller);
    if (isReturn) this.returned++;
    if (isSent) {
      if (isReturn) this.sentOnReturn++;
      this.#arriveAtServer(entry);
      return;
    }
    if (!doReturn || isReturn) return;
    const maxWaitMs = DEADLINE_MS / 3;
    const { server, permits } = entry;
    const waitMs = await permits.reserve([server], caller.holder, maxWaitMs);
    if (waitMs === undefined || waitMs > maxWaitMs) return;
    const up = this.#entries.filter(({ isUp }) => isUp);
    const next = up[Math.floor(this.#random() * up.length)] ?? entry;
    this.#after(
      waitMs + 20 + this.#random() * 10,
      () => void this.#request(next, { caller, doReturn, isReturn: true }),
    );
  }

  async #mayRequest(entry: Entry, caller: Caller): Promise<boolean> {
    const { server, permits } = entry;
    const { perSecond } = server.announcements.rate;
    if (perSecond === undefined) return true;
    switch (this.#options.strategy ?? RateStrategy.permits) {
      case RateStrategy.permits:
        return server.permitPauses.leftMs(this.#nowMs, caller) === 0 &&
          await permits.acquire(server, caller);
      case RateStrategy.reported: {
        const burst = Math.max(1, perSecond / 2);
        entry.buckets.setLimits(new Map([[SERVER_ID, { perSecond, burst }]]));
        return entry.buckets.tryTake(SERVER_ID, 1).kind === "admitted";
      }
      case RateStrategy.even:
        if (entry.evenTokens < 1) return false;
        entry.evenTokens--;
        return true;
    }
  }

  #arriveAtServer(entry: Entry): void {
    const sentAtMs = this.#nowMs;
    this.arrivedAtMs.push(sentAtMs);
    const rate = this.perSecond === undefined
      ? { kind: AnswerRateKind.none }
      : { kind: AnswerRateKind.limited, perSecond: this.perSecond };
    const { fleet, server } = entry;
    this.#after(ANSWER_MS, () => {
      fleet.recordRate(server, { rate, isRefusal: false, sentAtMs });
    });
  }

  #start(address: string): Entry {
    const { entryCount } = this.#options;
    return startEntry(address, {
      clock: this.#clock,
      random: this.#random,
      entryCount,
      registeredAddresses: () => [...this.#byAddress.keys()],
      send: (to, message) => this.#send(address, to, message),
    });
  }

  #gossipIfDue(entry: Entry): void {
    if (!entry.isUp) return;
    const { entryCount } = this.#options;
    const rate = entry.server.announcements.rate.perSecond ?? 0;
    const accrued = rate / entryCount * TICK_MS / 1000;
    entry.evenTokens = Math.min(1, entry.evenTokens + accrued);
    const isDue = this.#nowMs >= entry.nextGossipAtMs;
    if (!isDue && !entry.rates.hasNews) return;
    if (isDue) {
      entry.nextGossipAtMs = this.#nowMs + gossipIntervalFor(entryCount);
    }
    const rows = entry.rates.nextRows();
    const report = {
      startedAtMs: entry.buckets.startedAtMs,
      rows: entry.buckets.takeRows(),
    };
    const isReported = this.#options.strategy === RateStrategy.reported;
    for (const to of this.#entries) {
      if (!this.#isDelivered(entry, to)) continue;
      to.members.heard(entry.address, this.#nowMs);
      to.members.setStopping(entry.address, entry.members.isStopping);
      if (isReported) to.buckets.applyReport(entry.address, report);
      this.#applyRows(to, rows);
    }
  }

  #applyRows(to: Entry, rows: RateRow[]): void {
    if (rows.length === 0) return;
    to.bytes += rows.length * ROW_BYTES;
    to.rates.applyRows(rows);
  }

  #send(from: string, to: string, message: PermitMessage): void {
    const sender = this.#byAddress.get(from)!;
    const receiver = this.#byAddress.get(to);
    const bytes = encodePermitMessage(message);
    sender.messages++;
    sender.bytes += bytes.length;
    if (!receiver || !this.#isDelivered(sender, receiver)) return;
    this.#after(this.#random() * MAX_DELAY_MS, () => {
      if (!receiver.isUp) return;
      receiver.messages++;
      receiver.bytes += bytes.length;
      receiver.permits.receive(from, bytes);
    });
  }

  #isDelivered(from: Entry, to: Entry): boolean {
    return to !== from && to.isUp && to.partition === from.partition &&
      this.#random() >= (this.#options.lossRate ?? 0.03);
  }

  #after(ms: number, run: () => void): void {
    this.#deliveries.push({ dueAtMs: this.#nowMs + ms, run });
  }

  #deliver(): void {
    const due = this.#deliveries.filter(({ dueAtMs }) =>
      dueAtMs <= this.#nowMs
    );
    this.#deliveries = this.#deliveries.filter(({ dueAtMs }) =>
      dueAtMs > this.#nowMs
    );
    for (const { run } of due) run();
  }

  #sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      signal?.addEventListener("abort", () => resolve(), { once: true });
      this.#after(ms, resolve);
    });
  }
}
