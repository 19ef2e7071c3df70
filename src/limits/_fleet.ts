/** Many limiters in virtual time, for measurements and tests. */
import { seededRandom } from "../base/random.ts";
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import { VersionDigest } from "../wire/gen/cicadahitch.ts";
import type { Limits } from "./_division.ts";
import { ShareExchange, type ShareFailure } from "./share_exchange.ts";
import { ShareLedger } from "./share_ledger.ts";
import { type Admission, TeamLimiter } from "./team_limiter.ts";

/** The one team of the fleet. */
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

interface Run {
  admission: Admission;
  endsMs: number;
}

/** One entry of the fleet. */
export interface FleetEntry {
  id: string;
  alive: boolean;
  /** Entries on different sides can't reach each other. */
  side: number;
  /** Ids in this entry's list of instances. */
  known: string[];
  knownChangedMs: number;
  limiter: TeamLimiter;
  ledger: ShareLedger;
  exchange: ShareExchange;
  runs: Run[];
  messages: number;
  bytes: number;
}

/** What one tick came to. */
export interface FleetTick {
  inFlight: number;
  tokensAdmitted: number;
  refused: number;
}

/** Entries with a limiter, a ledger and an exchange each. */
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
    this.setLists(() => true, 0);
  }

  /**
   * @param options Sizes.
   * @returns A fleet without load.
   */
  static create(options: FleetOptions): Fleet {
    return new Fleet(options);
  }

  /** @returns A new entry that knows itself only, until the lists are set. */
  addEntry(): FleetEntry {
    const id = `entry-${this.entries.length}`;
    const { limits } = this.#options;
    const limitsOf = () => limits;
    const entryCount = () => entry.known.length;
    const clock = this.#clock;
    const random = this.#random;
    const limiter = TeamLimiter.create({ clock, random, limitsOf, entryCount });
    const ledger = ShareLedger.create({
      clock,
      limitsOf,
      entryCount,
      entriesChangedMs: () => entry.knownChangedMs,
    });
    const exchange = ShareExchange.create(limiter, {
      listEntries: () => entry.known,
      exchange: (to, demands) =>
        Promise.resolve(this.#deliver(entry, to, demands)),
    }, { clock });
    const entry: FleetEntry = {
      id,
      alive: true,
      side: 0,
      known: [id],
      knownChangedMs: this.#nowMs,
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
   * Brings the lists of instances of all live entries up to date.
   *
   * @param sees Whether an entry lists another.
   * @param changedMs When they changed; now when left out.
   */
  setLists(
    sees: (entry: FleetEntry, other: FleetEntry) => boolean,
    changedMs = this.#nowMs,
  ): void {
    for (const entry of this.entries) {
      const known = this.entries.filter((other) =>
        other.alive && sees(entry, other)
      );
      entry.known = known.map(({ id }) => id);
      entry.knownChangedMs = changedMs;
    }
  }

  /** Ends an entry; its requests end with it. */
  kill(entry: FleetEntry): void {
    entry.alive = false;
    entry.runs = [];
  }

  /**
   * Moves time by one tick.
   *
   * @param perSecond Requests that arrive at each entry.
   * @returns What came of it.
   */
  async tick(perSecond: (entry: FleetEntry) => number): Promise<FleetTick> {
    const { tickMs } = this.#options;
    this.#nowMs += tickMs;
    this.#ticks++;
    const result = { inFlight: 0, tokensAdmitted: 0, refused: 0 };
    for (const [index, entry] of this.entries.entries()) {
      if (!entry.alive) continue;
      this.#endRuns(entry);
      const arrivals = this.#poisson(perSecond(entry) * tickMs / 1000);
      for (let next = 0; next < arrivals; next++) this.#arrive(entry, result);
      result.inFlight += entry.runs.length;
      if ((this.#ticks + index) % TICKS_PER_EXCHANGE !== 0) continue;
      await entry.exchange.reportDue();
    }
    return result;
  }

  #endRuns(entry: FleetEntry): void {
    entry.runs = entry.runs.filter(({ admission, endsMs }) => {
      if (endsMs > this.#nowMs) return true;
      admission.settle(TOKENS_EXPECTED * 2 * this.#random());
      return false;
    });
  }

  #arrive(entry: FleetEntry, result: FleetTick): void {
    const verdict = entry.limiter.tryAdmit(TEAM, TOKENS_EXPECTED);
    if (verdict.kind === "refused") {
      result.refused++;
      return;
    }
    result.tokensAdmitted += TOKENS_EXPECTED;
    const durationMs = -Math.log(1 - this.#random()) *
      this.#options.meanDurationMs;
    const { admission } = verdict;
    entry.runs.push({ admission, endsMs: this.#nowMs + durationMs });
  }

  #deliver(
    from: FleetEntry,
    to: string,
    demands: Parameters<ShareLedger["answer"]>[1],
  ): ReturnType<typeof reachable> {
    const target = this.entries.find(({ id }) => id === to);
    if (!target?.alive || target.side !== from.side) {
      return unreachable();
    }
    const shares = target.ledger.answer(from.id, demands);
    if (target !== from) {
      const bytes = sizeOf({ demands, shares: [] }) +
        sizeOf({ demands: [], shares });
      for (const side of [from, target]) {
        side.messages++;
        side.bytes += bytes;
      }
    }
    return reachable(shares);
  }

  #poisson(mean: number): number {
    const limit = Math.exp(-Math.min(mean, 500));
    let count = 0;
    for (let left = this.#random(); left > limit; left *= this.#random()) {
      count++;
    }
    return count;
  }
}

function reachable(shares: ReturnType<ShareLedger["answer"]>) {
  return Result.ok<typeof shares, ShareFailure>(shares);
}

function unreachable(): ReturnType<typeof reachable> {
  return Result.err({ kind: "unreachable", message: "On the other side" });
}

function sizeOf(limits: NonNullable<VersionDigest["limits"]>): number {
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
