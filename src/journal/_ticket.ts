/** Ticket of a granted claim, which the holder uses to begin and end its call. */
import type { Clock } from "../base/mod.ts";
import type { ClaimEnd, ClaimRef, ClaimTicket } from "./claims_journal.ts";
import { type ClaimEntry, keyToDigest } from "./_claim_entry.ts";
import type { Shard } from "./_shard.ts";

/** Dependencies of a {@link Ticket}. */
export interface TicketOptions {
  shard: Shard;
  entry: ClaimEntry;
  clock: Clock;
  /** Longest time after its request at which a granted call may still be forwarded. */
  maxForwardDelayMs: number;
}

/** {@link ClaimTicket} for a claim of a shard. */
export class Ticket implements ClaimTicket {
  readonly ref: ClaimRef;
  readonly #options: TicketOptions;

  private constructor(options: TicketOptions) {
    const { shard, entry } = options;
    const { team, service } = shard.id;
    const { runId } = entry.claimant;
    this.ref = { team, service, keyDigest: keyToDigest(entry.key), runId };
    this.#options = options;
  }

  /** @param options The granted claim, its shard and the time limit. */
  static create(options: TicketOptions): Ticket {
    return new Ticket(options);
  }

  begin(): boolean {
    const { entry } = this.#options;
    if (entry.phase !== "granted" || entry.end) return false;
    if (this.#isTooLate()) {
      this.end({ kind: "not_run" });
      return false;
    }
    entry.phase = "begun";
    return true;
  }

  end(end: ClaimEnd): void {
    const { shard, entry, clock } = this.#options;
    shard.end(entry, end, clock.nowMs());
  }

  /** Also checks the wall clock, since the monotonic clock stops while an instance is suspended. */
  #isTooLate(): boolean {
    const { entry, clock, maxForwardDelayMs } = this.#options;
    const ageMs = clock.nowMs() - entry.requestedMs;
    const wallAgeMs = clock.wallMs() - entry.requestedWallMs;
    return ageMs > maxForwardDelayMs || wallAgeMs > maxForwardDelayMs;
  }
}
