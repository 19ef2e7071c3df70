/**
 * Placement policies. A dispatcher calls `candidates`, asks each of them for an offer, takes what
 * `choose` returns, and tells `learn` what came of it.
 */
import type { ChainPoint, Offer } from "../wire/gen/cicadahitch.ts";
import type { Member, MemberTable } from "./member_table.ts";
import type { PolicyName } from "./policy_name.ts";

/** Parts of the policy that can be switched off in experiments. */
export const Mechanism = {
  /** Widening of the candidate set of a hot prefix. */
  Widen: "widen",
  /** Hints from own traffic. */
  Hints: "hints",
  /** Deep levels choose inside what shallow ones chose. */
  Nested: "nested",
  /** The class's price of recomputation. */
  Price: "price",
  /** Round trips to availability zones. */
  Zones: "zones",
  /** Two choices by load among equals. */
  TwoChoices: "twochoices",
} as const;
/** One of {@link Mechanism}. */
export type Mechanism = (typeof Mechanism)[keyof typeof Mechanism];

/** What placement needs to know of a request. */
export interface PlacementRequest {
  /** Points at which levels of the prefix end, shallow to deep; empty for a short prompt. */
  levels: ChainPoint[];
  /** The points that go on the wire, ascending. */
  points: ChainPoint[];
  promptTokens: number;
  /** Price of a recomputed token in ms of waiting, from the request's class. */
  recomputePriceMs: number;
  /** Servers that have been tried for this request. */
  excludedIds?: ReadonlySet<string>;
}

/** An offer, with the server that made it. */
export interface ServerOffer<M extends Member> {
  member: M;
  offer: Offer;
}

/** What a dispatcher saw. */
export type Observation =
  /** A server took the request, under this offer. */
  | {
    kind: "placed";
    request: PlacementRequest;
    memberId: string;
    offer: Offer;
  }
  /** A server refused; 0 ms: it said nothing about when to return. */
  | { kind: "refused"; memberId: string; retryAfterMs: number }
  /** A server did not answer, or broke off. */
  | { kind: "failed"; memberId: string }
  /** The first piece of an answer came. */
  | { kind: "answered"; memberId: string }
  /** Load of a server, seen in passing. */
  | { kind: "load"; memberId: string; running: number; waiting: number };

/** Chooses backend servers. */
export interface Policy {
  readonly name: PolicyName;
  /**
   * @param request What to place.
   * @param table The pool's live members.
   * @returns Members to ask, all at once; empty when none is left.
   */
  candidates<M extends Member>(
    request: PlacementRequest,
    table: MemberTable<M>,
  ): M[];
  /**
   * @param request What to place.
   * @param offers What the candidates offered.
   * @returns The best offer, undefined when there is none.
   */
  choose<M extends Member>(
    request: PlacementRequest,
    offers: ServerOffer<M>[],
  ): ServerOffer<M> | undefined;
  /** Takes note of what happened. */
  learn(observation: Observation): void;
  /** @returns Soft state for dumps. */
  dump(): Record<string, unknown>;
}

/** Settings of a policy. */
export interface PolicyOptions {
  /** Own availability zone. */
  zone: string;
  /** Round trip to each availability zone, in ms. */
  zoneRttMs: Record<string, number>;
  /** Monotonic time in ms. */
  nowMs: () => number;
  /** Uniform in [0, 1). */
  random: () => number;
  /** Parts that are switched off. */
  without?: ReadonlySet<Mechanism>;
}
