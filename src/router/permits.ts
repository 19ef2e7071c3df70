/**
 * Permits to send requests to backend servers that take a limited rate from all entries together. For
 * each server, one entry grants the permits; the others ask it before each request, so that the whole
 * rate can be used at whichever entry has requests. The entries choose it without a message, by
 * rendezvous hashing over those that are alive.
 */
import type { Clock, Logger, Metrics } from "../base/mod.ts";
import type { EntryMembers } from "./entry_members.ts";
import type { Fleet } from "./fleet.ts";
import { incarnationKey } from "./model.ts";
import { type Caller, CallerKind } from "./permit_bucket.ts";
import { PermitGrants, type PermitVerdict } from "./permit_grants.ts";
import {
  decodePermitMessage,
  type DeniedPermit,
  type PermitMessage,
  type PermitReply,
  type PermitRequest,
  PermitRequestKind,
} from "./permit_message.ts";
import type { Server } from "./server.ts";

/** Longest wait for a reply; a round trip takes some ms, up to 40 ms between busy entries. */
const REPLY_TIMEOUT_MS = 60;
/** A request whose reply is not here by then is repeated once. */
const REPEAT_AFTER_MS = 25;
/** Sequences start at a random number: the granting entry remembers those of an earlier process. */
const MAX_FIRST_SEQUENCE = 2 ** 31;
/** After a missed reply, a server gets no requests of this entry for some time. */
const NO_REPLY = { pauseMs: 250, waitMs: 250, holders: [] };
/** How long an entry should not ask that asked one which does not grant the server's permits. */
const NOT_RESPONSIBLE_PAUSE_MS = 100;

/** Dependencies of {@link Permits}. */
export interface PermitsOptions {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  /** Random number from 0 to 1. */
  random: () => number;
  fleet: Fleet;
  members: EntryMembers;
  ownAddress: string;
  /** Sends a message to another entry; it may be lost. */
  send(address: string, message: PermitMessage): void;
}

/** A request that waits for its reply. */
interface PendingRequest {
  resolve(reply: PermitReply | undefined): void;
  /** Ends the wait for the reply. */
  timeout: AbortController;
}

/** Asks for permits, and grants those of the servers that this entry is responsible for. */
export class Permits {
  readonly #options: PermitsOptions;
  readonly #grants: PermitGrants;
  readonly #pending = new Map<number, PendingRequest>();
  #lastSequence: number;

  private constructor(options: PermitsOptions) {
    this.#options = options;
    this.#lastSequence = Math.floor(options.random() * MAX_FIRST_SEQUENCE);
    this.#grants = PermitGrants.create(options);
  }

  /**
   * @param options Servers, entries and the way to reach them.
   * @returns An exchange without permits.
   */
  static create(options: PermitsOptions): Permits {
    return new Permits(options);
  }

  /**
   * Obtains the permit for one request. If it is denied, the server is paused for such callers.
   *
   * @param server The server to which the request is about to be sent.
   * @param caller Who sends the request.
   * @returns Whether the request may be sent.
   */
  async acquire(server: Server, caller: Caller): Promise<boolean> {
    const verdict = await this.#request(server, {
      kind: PermitRequestKind.permit,
      caller,
      maxWaitMs: 0,
    });
    this.#count(verdict?.kind ?? "no_reply");
    switch (verdict?.kind) {
      case "granted":
      case "unlimited":
        return true;
      case "denied":
        this.#pause(server, caller.kind, verdict);
        return false;
      case undefined:
        this.#pause(server, caller.kind, NO_REPLY);
        return false;
    }
  }

  /**
   * Reserves a permit for a caller who is refused now and told when to return.
   *
   * @param servers Servers with a limited rate, of which any may serve the caller.
   * @param holder Identifies the caller when it returns.
   * @param maxWaitMs Latest time at which the caller would return; a later permit is not reserved.
   * @returns Time until the permit is available; undefined if that is unknown.
   */
  async reserve(
    servers: readonly Server[],
    holder: string,
    maxWaitMs: number,
  ): Promise<number | undefined> {
    const nowMs = this.#options.clock.nowMs();
    const leftMs = (server: Server) => server.permitPauses.freeInMs(nowMs);
    const first = servers.reduce<Server | undefined>(
      (best, server) => best && leftMs(best) <= leftMs(server) ? best : server,
      undefined,
    );
    if (!first) return undefined;
    if (leftMs(first) > maxWaitMs) return leftMs(first);
    const verdict = await this.#request(first, {
      kind: PermitRequestKind.reservation,
      caller: { kind: CallerKind.attempt, holder },
      maxWaitMs: Math.max(0, maxWaitMs),
    });
    return verdict?.kind === "denied" ? verdict.waitMs : undefined;
  }

  /** @param server A server whose permit was obtained, and which got no request. */
  giveBack(server: Server): void {
    if (server.announcements.rate.perSecond === undefined) return;
    const { members, clock, ownAddress, send } = this.#options;
    const { id, bornAtMs = 0 } = server.entry;
    const key = incarnationKey(server.entry);
    const { address } = members.responsibleFor(key, clock.nowMs());
    if (address === ownAddress) this.#grants.giveBack(key);
    else send(address, { kind: "unused", serverId: id, startMs: bornAtMs });
  }

  /**
   * @param key Incarnation key of a server.
   * @returns Whether this entry grants its permits.
   */
  grantsFor(key: string): boolean {
    const { members, clock, ownAddress } = this.#options;
    return members.responsibleFor(key, clock.nowMs()).address === ownAddress;
  }

  /**
   * @param server A server.
   * @returns Whether this entry grants its permits, or would if the one that does ended.
   */
  mayGrantFor({ entry }: Server): boolean {
    const { members, clock, ownAddress } = this.#options;
    const key = incarnationKey(entry);
    const { address, next } = members.responsibleFor(key, clock.nowMs());
    return address === ownAddress || next === ownAddress;
  }

  /**
   * Handles a datagram of another entry.
   *
   * @param address The entry.
   * @param bytes The datagram.
   */
  receive(address: string, bytes: Buffer): void {
    const { log, members, clock, send } = this.#options;
    const message = decodePermitMessage(bytes);
    if (!message) {
      log.warn({ event: "peer_malformed", peer: address });
      return;
    }
    members.heard(address, clock.nowMs());
    switch (message.kind) {
      case PermitRequestKind.permit:
      case PermitRequestKind.reservation:
        return send(address, this.#reply(address, message));
      case "unused":
        return this.#grants.giveBack(keyOf(message));
      case "granted":
      case "denied":
      case "unlimited":
        return this.#settle(message.sequence, message);
    }
  }

  /** @returns State of the permits that this entry grants, for state dumps. */
  state(): unknown {
    return this.#grants.state();
  }

  /** Ends the wait for all replies. */
  close(): void {
    for (const sequence of [...this.#pending.keys()]) {
      this.#settle(sequence, undefined);
    }
  }

  #request(
    server: Server,
    asked: Pick<PermitRequest, "kind" | "caller" | "maxWaitMs">,
  ): Promise<PermitVerdict | undefined> | PermitVerdict {
    const { members, clock, ownAddress } = this.#options;
    const nowMs = clock.nowMs();
    const { statement } = server.announcements.rate;
    const { id, bornAtMs = 0 } = server.entry;
    const request: PermitRequest = {
      ...asked,
      sequence: ++this.#lastSequence,
      serverId: id,
      startMs: bornAtMs,
      rate: {
        perSecond: statement?.perSecond ?? null,
        ageMs: Math.max(0, nowMs - (statement?.atMs ?? nowMs)),
      },
    };
    const key = keyOf(request);
    const { address } = members.responsibleFor(key, nowMs);
    if (address !== ownAddress) return this.#askEntry(server, address, request);
    const rate = statement ?? { perSecond: undefined, atMs: nowMs };
    return this.#grants.decide(key, { address, request, rate });
  }

  async #askEntry(
    server: Server,
    address: string,
    request: PermitRequest,
  ): Promise<PermitVerdict | undefined> {
    const { clock, fleet, send } = this.#options;
    const { sequence } = request;
    const reply = await new Promise<PermitReply | undefined>((resolve) => {
      const timeout = new AbortController();
      this.#pending.set(sequence, { resolve, timeout });
      send(address, request);
      void this.#repeatUntilSettled(address, request, timeout.signal);
    });
    if (reply?.kind === "unlimited") {
      const atMs = clock.nowMs() - reply.ageMs;
      fleet.mergeRate(server, { perSecond: undefined, atMs });
    }
    return reply;
  }

  async #repeatUntilSettled(
    address: string,
    request: PermitRequest,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, send } = this.#options;
    await clock.sleep(REPEAT_AFTER_MS, signal);
    if (signal.aborted) return;
    send(address, request);
    await clock.sleep(REPLY_TIMEOUT_MS - REPEAT_AFTER_MS, signal);
    this.#settle(request.sequence, undefined);
  }

  #settle(sequence: number, reply: PermitReply | undefined): void {
    const pending = this.#pending.get(sequence);
    if (!pending) return;
    this.#pending.delete(sequence);
    pending.resolve(reply);
    pending.timeout.abort();
  }

  #reply(address: string, request: PermitRequest): PermitReply {
    const { sequence, serverId, startMs } = request;
    const key = keyOf(request);
    if (!this.grantsFor(key)) {
      // The asker does not hear the entry that grants; with two of them, the rate would be exceeded.
      const pauseMs = NOT_RESPONSIBLE_PAUSE_MS;
      const waitMs = pauseMs;
      return { kind: "denied", sequence, waitMs, pauseMs, holders: [] };
    }
    const reported = {
      perSecond: request.rate.perSecond ?? undefined,
      atMs: this.#options.clock.nowMs() - request.rate.ageMs,
    };
    const { fleet } = this.#options;
    const server = fleet.get(serverId, startMs || undefined);
    // The entry that asks may have heard of the server or of its rate before this one, or later.
    if (server) fleet.mergeRate(server, reported);
    const rate = server
      ? server.announcements.rate.statement ?? reported
      : this.#grants.rateOfUnknown(key, reported);
    const verdict = this.#grants.decide(key, { address, request, rate });
    return { ...verdict, sequence };
  }

  #pause(
    server: Server,
    kind: CallerKind,
    { pauseMs, waitMs, holders }: Omit<DeniedPermit, "kind" | "sequence">,
  ): void {
    const nowMs = this.#options.clock.nowMs();
    server.permitPauses.pause(kind, {
      untilMs: nowMs + pauseMs,
      freeAtMs: nowMs + waitMs,
      holders: new Set(holders),
    });
  }

  #count(result: string): void {
    this.#options.metrics.counter("server_permits_total", {
      help: "Permits asked for requests to rate-limited servers, by result",
      labels: { result },
    }).add();
  }
}

function keyOf(
  { serverId, startMs }: Pick<PermitRequest, "serverId" | "startMs">,
): string {
  return incarnationKey({ id: serverId, bornAtMs: startMs });
}
