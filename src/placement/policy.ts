/**
 * Interface of the placement policies. A dispatcher calls `candidates`, requests an offer from
 * each, sends the request to the server that `choose` returns, and reports the result to
 * `recordObservation`.
 */
import type { ChainPoint, Offer } from "../wire/gen/cicadahitch.ts";
import type { Member, MemberTable } from "./member_table.ts";
import type { PolicyName } from "./policy_name.ts";

/** Parts of the policy that experiments can disable. */
export const Mechanism = {
  /** Spreads a hot prefix over more servers. */
  Widen: "widen",
  /** Asks the server at which this process last placed the prefix. */
  Hints: "hints",
  /** Selects the servers of a deep prefix level among those of the shallower ones. */
  Nested: "nested",
  /** Adds the cost of recomputed tokens, as priced by the request's class. */
  Price: "price",
  /** Adds the round trip time to the server's availability zone. */
  Zones: "zones",
  /** Selects at least two servers per level, and the less loaded one among equal offers. */
  TwoChoices: "twochoices",
} as const;
/** One of {@link Mechanism}. */
export type Mechanism = (typeof Mechanism)[keyof typeof Mechanism];

/** Properties of a request that placement uses. */
export interface PlacementRequest {
  /** Chain points at which the prefix levels end, shallow to deep; empty for a short prompt. */
  levels: ChainPoint[];
  /** Chain points that are sent to agents, ascending. */
  points: ChainPoint[];
  promptTokens: number;
  /** Cost of recomputing a token, in ms of waiting time; set by the request's class. */
  recomputePriceMs: number;
  /** Servers that were already tried for this request. */
  excludedIds?: ReadonlySet<string>;
}

/** An offer and the server that made it. */
export interface ServerOffer<M extends Member> {
  member: M;
  offer: Offer;
}

/** An event that a dispatcher reports to its policy. */
export type Observation =
  /** A server accepted the request under this offer. */
  | {
    kind: "placed";
    request: PlacementRequest;
    memberId: string;
    offer: Offer;
  }
  /** A server refused the request. `retryAfterMs` is 0 if it suggested no delay. */
  | { kind: "refused"; memberId: string; retryAfterMs: number }
  /** A server did not answer, or its answer was cut off. */
  | { kind: "failed"; memberId: string }
  /** The first piece of a server's answer arrived. */
  | { kind: "answered"; memberId: string }
  /** A server's load, as contained in another message. */
  | { kind: "load"; memberId: string; running: number; waiting: number };

/** Chooses backend servers for requests. */
export interface Policy {
  readonly name: PolicyName;
  /**
   * @param request The request to place.
   * @param table The pool's live members.
   * @returns Members to ask in parallel; empty if none is left.
   */
  candidates<M extends Member>(
    request: PlacementRequest,
    table: MemberTable<M>,
  ): M[];
  /**
   * @param request The request to place.
   * @param offers The candidates' offers.
   * @returns The best offer, undefined if there are none.
   */
  choose<M extends Member>(
    request: PlacementRequest,
    offers: ServerOffer<M>[],
  ): ServerOffer<M> | undefined;
  /** Updates the policy's state with an observation. */
  recordObservation(observation: Observation): void;
  /** @returns A summary of the in-memory state, for state dumps. */
  dump(): Record<string, unknown>;
}

/** Settings of a policy. */
export interface PolicyOptions {
  /** Availability zone of this process. */
  zone: string;
  /** Round trip time to each availability zone, in ms. */
  zoneRttMs: Record<string, number>;
  /** Monotonic time in ms. */
  nowMs: () => number;
  /** Uniform in [0, 1). */
  random: () => number;
  /** Disabled parts of the policy. */
  without?: ReadonlySet<Mechanism>;
}
