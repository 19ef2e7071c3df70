/** Simulates a fleet of team limiters in virtual time, for measurements and tests. */
import { poisson, seededRandom } from "../base/random.ts";
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import { VersionDigest } from "../wire/gen/cicadahitch.ts";
import type { Limits } from "./_division.ts";
import { ShareExchange, type ShareFailure } from "./share_exchange.ts";
import { ShareLedger } from "./share_ledger.ts";
import { type Admission, TeamLimiter } from "./team_limiter.ts";

/** The only team in the simulation. */
export const TEAM = "team-a";
const TOKENS_EXPECTED = 200;
const TICKS_PER_EXCHANGE = 4;

/** Settings of a {@link Fleet}. */
export interface FleetOptions {
  entryCount: number;
  limits: Limits;
  seed: number;
  tickMs: number;
  meanDurationMs: number;
}

interface RunningRequest {
  admission: Admission;
  endsAtMs: number;
}

/** One entry of the fleet. */
export interface FleetEntry {
  id: string;
  isAlive: boolean;
  /** Entries in different partitions can't reach each other. */
  partition: number;
  /** Ids in this entry's list of instances. */
  knownIds: string[];
  knownIdsChangedMs: number;
  limiter: TeamLimiter;
  ledger: ShareLedger;
  exchange: ShareExchange;
  runs: RunningRequest[];
  messages: number;
  bytes: number;
}

/** Totals of one tick over all entries. */
export interface FleetTick {
  inFlight: number;
  tokensAdmitted: number;
  refused: number;
}

/** A simulated fleet; each entry has a limiter, a ledger and an exchange. */
export class Fleet {
  readonly entries: FleetEntry[] = [];
  readonly #options: FleetOptions;
  readonly #clock: Clock;
  readonly #random: () => number;
  #nowMs = 1_000_000;
  #ticks = 0;

  private constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    this.#clock = {
      nowMs: () => this.#nowMs,
      wallMs: () => this.#nowMs,
      sleep: () => Promise.resolve(),
    };
    for (let index = 0; index < options.entryCount; index++) this.addEntry();
    this.setEntryLists(() => true, 0);
  }

  /**
   * @param options Sizes, limits and seed.
   * @returns A fleet without requests.
   */
  static create(options: FleetOptions): Fleet {
    return new Fleet(options);
  }

  /** @returns A new entry that lists only itself until `setEntryLists` is called. */
  addEntry(): FleetEntry {
    const id = `entry-${this.entries.length}`;
    const { limits } = this.#options;
    const limitsOf = () => limits;
    const entryCount = () => entry.knownIds.length;
    const clock = this.#clock;
    const random = this.#random;
    const limiter = TeamLimiter.create({ clock, random, limitsOf, entryCount });
    const ledger = ShareLedger.create({
      clock,
      limitsOf,
      entryCount,
      entriesChangedMs: () => entry.knownIdsChangedMs,
    });
    const exchange = ShareExchange.create(limiter, {
      listEntries: () => entry.knownIds,
      exchange: (to, demands) =>
        Promise.resolve(this.#deliver(entry, to, demands)),
    }, { clock });
    const entry: FleetEntry = {
      id,
      isAlive: true,
      partition: 0,
      knownIds: [id],
      knownIdsChangedMs: this.#nowMs,
      limiter,
      ledger,
      exchange,
      runs: [],
      messages: 0,
      bytes: 0,
    };
    this.entries.push(entry);
    return entry;
  }

  /**
   * Updates the list of instances at each entry.
   *
   * @param isListed Whether the first entry lists the second.
   * @param changedMs When the lists changed; defaults to the current time.
   */
  setEntryLists(
    isListed: (entry: FleetEntry, other: FleetEntry) => boolean,
    changedMs = this.#nowMs,
  ): void {
    for (const entry of this.entries) {
      const listed = this.entries.filter((other) =>
        other.isAlive && isListed(entry, other)
      );
      entry.knownIds = listed.map(({ id }) => id);
      entry.knownIdsChangedMs = changedMs;
    }
  }

  /** Stops an entry and drops its requests. */
  kill(entry: FleetEntry): void {
    entry.isAlive = false;
    entry.runs = [];
  }

  /**
   * Advances the virtual time by one tick.
   *
   * @param perSecond Requests per second that arrive at an entry.
   * @returns The totals of the tick.
   */
  async tick(perSecond: (entry: FleetEntry) => number): Promise<FleetTick> {
    const { tickMs } = this.#options;
    this.#nowMs += tickMs;
    this.#ticks++;
    const result = { inFlight: 0, tokensAdmitted: 0, refused: 0 };
    for (const [index, entry] of this.entries.entries()) {
      if (!entry.isAlive) continue;
      this.#settleFinished(entry);
      const arrivals = poisson(
        perSecond(entry) * tickMs / 1000,
        this.#random,
      );
      for (let next = 0; next < arrivals; next++) this.#admit(entry, result);
      result.inFlight += entry.runs.length;
      if ((this.#ticks + index) % TICKS_PER_EXCHANGE !== 0) continue;
      await entry.exchange.reportDue();
    }
    return result;
  }

  #settleFinished(entry: FleetEntry): void {
    entry.runs = entry.runs.filter(({ admission, endsAtMs }) => {
      if (endsAtMs > this.#nowMs) return true;
      admission.settle(TOKENS_EXPECTED * 2 * this.#random());
      return false;
    });
  }

  #admit(entry: FleetEntry, result: FleetTick): void {
    const verdict = entry.limiter.tryAdmit(TEAM, TOKENS_EXPECTED);
    if (verdict.kind === "refused") {
      result.refused++;
      return;
    }
    result.tokensAdmitted += TOKENS_EXPECTED;
    const durationMs = -Math.log(1 - this.#random()) *
      this.#options.meanDurationMs;
    const { admission } = verdict;
    entry.runs.push({ admission, endsAtMs: this.#nowMs + durationMs });
  }

  #deliver(
    from: FleetEntry,
    to: string,
    demands: Parameters<ShareLedger["answer"]>[1],
  ): ReturnType<typeof sharesResult> {
    const target = this.entries.find(({ id }) => id === to);
    if (!target?.isAlive || target.partition !== from.partition) {
      return unreachableResult();
    }
    const shares = target.ledger.answer(from.id, demands);
    if (target !== from) {
      const bytes = encodedSize({ demands, shares: [] }) +
        encodedSize({ demands: [], shares });
      for (const entry of [from, target]) {
        entry.messages++;
        entry.bytes += bytes;
      }
    }
    return sharesResult(shares);
  }
}

function sharesResult(shares: ReturnType<ShareLedger["answer"]>) {
  return Result.ok<typeof shares, ShareFailure>(shares);
}

function unreachableResult(): ReturnType<typeof sharesResult> {
  return Result.err({
    kind: "unreachable",
    message: "The entry is down or in another partition",
  });
}

function encodedSize(limits: NonNullable<VersionDigest["limits"]>): number {
  const digest = VersionDigest.create({
    processId: "entry-000",
    address: "10.0.0.100:7000",
    revision: 1_000_000n,
    confirmedAgeMs: 1000,
    hash: 1n << 60n,
    limits,
  });
  return VersionDigest.encode(digest).finish().length;
}
