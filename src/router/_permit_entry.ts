/** One entry of a {@link PermitFleet}, with the parts of a router that exchange permits. */
import { type Clock, Metrics } from "../base/mod.ts";
import { SharedBuckets } from "../limits/mod.ts";
import { registration, silentLog, testFleet } from "./_kit.ts";
import { EntryMembers } from "./entry_members.ts";
import type { Fleet } from "./fleet.ts";
import { gossipIntervalFor } from "./gossip_interval.ts";
import type { PermitMessage } from "./permit_message.ts";
import { Permits } from "./permits.ts";
import { RateAnnouncements } from "./rate_announcements.ts";
import type { Server } from "./server.ts";

/** Id of the only server. */
export const SERVER_ID = "i-1";

/** A simulated entry. */
export interface SimulatedEntry {
  address: string;
  isUp: boolean;
  /** Entries in different partitions hear nothing of each other. */
  partition: number;
  /** Relative weight of this entry's part of the requests. */
  demand: number;
  /** Datagrams about permits that it sent and received, and their bytes. */
  messages: number;
  bytes: number;
}

/** A simulated entry with its parts. */
export interface Entry extends SimulatedEntry {
  fleet: Fleet;
  server: Server;
  members: EntryMembers;
  permits: Permits;
  rates: RateAnnouncements;
  /** For {@link RateStrategy.reported}. */
  buckets: SharedBuckets;
  /** For {@link RateStrategy.even}. */
  evenTokens: number;
  nextGossipAtMs: number;
}

/** Surroundings of a simulated entry. */
export interface EntryOptions {
  clock: Clock;
  random: () => number;
  entryCount: number;
  registeredAddresses(): string[];
  send(address: string, message: PermitMessage): void;
}

/**
 * @param address Address of the entry.
 * @param options Its surroundings.
 * @returns An entry that has just started and knows one server.
 */
export function startEntry(
  address: string,
  { clock, random, entryCount, registeredAddresses, send }: EntryOptions,
): Entry {
  const fleet = testFleet(clock, {
    onRate: (server) => rates.announce(server),
  });
  fleet.put(registration(SERVER_ID));
  const server = fleet.get(SERVER_ID)!;
  const members = EntryMembers.create({
    ownAddress: address,
    registeredAddresses,
  });
  const permits = Permits.create({
    clock,
    log: silentLog,
    metrics: Metrics.create(),
    random,
    fleet,
    members,
    ownAddress: address,
    send,
  });
  const rates: RateAnnouncements = RateAnnouncements.create({
    clock,
    fleet,
    mayGrantFor: (server) => permits.mayGrantFor(server),
  });
  const buckets = SharedBuckets.create({
    clock,
    random,
    memberCount: () => entryCount,
  });
  return {
    address,
    isUp: true,
    partition: 0,
    demand: 1,
    messages: 0,
    bytes: 0,
    fleet,
    server,
    members,
    permits,
    rates,
    buckets,
    evenTokens: 0,
    nextGossipAtMs: clock.nowMs() + random() * gossipIntervalFor(entryCount),
  };
}
