/** Entries that exchange the origins of streams over a lossy network, in virtual time. */
import { Metrics } from "../base/mod.ts";
import { registration, silentLog, TestClock } from "./_kit.ts";
import { EntryMembers } from "./entry_members.ts";
import { RequestKind } from "./model.ts";
import { encodeOriginMessage } from "./origin_message.ts";
import type { RoutedRequest } from "./request.ts";
import type { SoftwareAnswer } from "./software_check.ts";
import { originAt, SoftwareVersions } from "./software_versions.ts";
import { StreamOrigins } from "./stream_origins.ts";

/** Interval at which entries hear each other. */
const GOSSIP_MS = 400;

/** One entry. */
export interface OriginEntry {
  address: string;
  members: EntryMembers;
  versions: SoftwareVersions;
  origins: StreamOrigins;
  /** Whether it reaches the store. */
  isConfirmed: boolean;
}

/** Settings of an {@link OriginFleet}. */
export interface OriginFleetOptions {
  entryCount: number;
  /** Random number from 0 to 1. */
  random?: () => number;
  /** Part of the datagrams that is lost. */
  lossShare?: number;
}

/** Datagrams and their bytes, without headers of lower layers. */
export interface Traffic {
  datagrams: number;
  bytes: number;
}

/** Entries in virtual time; a datagram that isn't lost arrives at once. */
export class OriginFleet {
  readonly entries: OriginEntry[];
  readonly sent: Traffic = { datagrams: 0, bytes: 0 };
  readonly clock = new TestClock();
  /** Software versions that the store has recorded. */
  readonly recorded = new Set<string>();
  /** Addresses that neither send nor receive. */
  readonly gone = new Set<string>();
  /** Address of an entry that is blocked: it reads datagrams only after all timers that are due. */
  blocked: string | undefined;
  readonly #options: OriginFleetOptions;

  private constructor(options: OriginFleetOptions) {
    this.#options = options;
    // Time passes only while somebody waits.
    this.clock.sleep = (ms?: number, signal?: AbortSignal) => {
      if (!signal?.aborted) this.clock.advance(ms ?? 0);
      return Promise.resolve();
    };
    this.entries = Array.from(
      { length: options.entryCount },
      (_, i) => this.#createEntry(`10.0.${i >> 8}.${i & 255}`),
    );
    this.gossip();
  }

  /**
   * @param options Size of the fleet, and loss.
   * @returns Entries that know each other, and no server.
   */
  static create(options: OriginFleetOptions): OriginFleet {
    return new OriginFleet(options);
  }

  /**
   * @param softwareVersion Version of a server that all entries learn of.
   * @param id Id of the server.
   */
  join(softwareVersion: string, id: string): void {
    this.recorded.add(softwareVersion);
    for (const { versions } of this.entries) {
      versions.joined(registration(id, { softwareVersion }));
    }
  }

  /**
   * @param entry Entry that delivers the first event of a stream.
   * @param id Id of the attempt.
   * @param softwareVersion Version of the server that wrote the event.
   */
  begin({ origins }: OriginEntry, id: string, softwareVersion: string): void {
    const server = registration("i", { softwareVersion });
    origins.began(requestOf({ id }), originAt(server));
  }

  /**
   * @param entry Entry that has delivered the last event of a stream.
   * @param id Id of the attempt.
   */
  complete({ origins }: OriginEntry, id: string): void {
    origins.completed(requestOf({ id }));
  }

  /**
   * @param entry Entry at which a client takes up a stream.
   * @param firstId Id of the attempt that began it.
   * @returns Who knew which software began it, and its version.
   */
  async takeUp({ origins }: OriginEntry, firstId: string): Promise<string> {
    const request = requestOf({ id: `${firstId}-again`, firstId });
    const { source, origin } = await origins.find(request);
    return `${source} ${origin?.softwareVersion}`;
  }

  /**
   * Replaces an entry by a new process, which the others hear.
   *
   * @param index Index of the entry.
   */
  restart(index: number): void {
    const before = this.entries[index]!;
    const entry = this.#createEntry(before.address);
    for (const softwareVersion of before.versions.current("engines")) {
      entry.versions.joined(registration("i", { softwareVersion }));
    }
    this.entries[index] = entry;
    this.gossip();
    for (const { origins, address } of this.entries) {
      if (address !== entry.address) origins.tellStarted(entry.address);
    }
  }

  /** Entries that are not gone hear each other. */
  gossip(): void {
    const nowMs = this.clock.nowMs();
    const alive = this.entries.filter(({ address }) => !this.gone.has(address));
    for (const { address, members } of alive) {
      for (const other of alive) {
        if (other.address !== address) members.heard(other.address, nowMs);
      }
    }
  }

  /** @param ms Time that passes with gossip. */
  pass(ms: number): void {
    for (let passedMs = 0; passedMs < ms; passedMs += GOSSIP_MS) {
      this.clock.advance(GOSSIP_MS);
      this.gossip();
    }
  }

  #createEntry(address: string): OriginEntry {
    const { random = () => 0.5 } = this.#options;
    const members = EntryMembers.create({
      ownAddress: address,
      registeredAddresses: () => this.entries.map(({ address }) => address),
    });
    const versions = SoftwareVersions.create({
      clock: this.clock,
      streamLifetimeMs: () => 0,
    });
    const origins = StreamOrigins.create({
      clock: this.clock,
      log: silentLog,
      metrics: Metrics.create(),
      random,
      versions,
      members,
      check: { ask: () => Promise.resolve(this.#askStore(entry)) },
      storeCopyAgeMs: () => 0,
      send: (to, message) => {
        const bytes = encodeOriginMessage(message);
        this.sent.datagrams++;
        this.sent.bytes += bytes.length;
        this.#deliver(address, to, bytes);
      },
    });
    const entry: OriginEntry = {
      address,
      members,
      versions,
      origins,
      isConfirmed: true,
    };
    return entry;
  }

  #askStore({ isConfirmed }: OriginEntry): SoftwareAnswer {
    if (!isConfirmed) return { kind: "no_answer" };
    const [softwareVersion] = this.recorded;
    return this.recorded.size === 1
      ? { kind: "one_version", softwareVersion }
      : { kind: "several_versions" };
  }

  #deliver(from: string, to: string, bytes: Buffer): void {
    const { random = () => 0.5, lossShare = 0 } = this.#options;
    if (this.gone.has(from) || this.gone.has(to)) return;
    if (random() < lossShare) return;
    const entry = this.entries.find(({ address }) => address === to);
    const receive = () => entry?.origins.receive(from, bytes);
    if (to === this.blocked) setImmediate(receive);
    else receive();
  }
}

function requestOf(
  { id, firstId }: { id: string; firstId?: string },
): RoutedRequest {
  return {
    facts: {
      requestId: id,
      deadlineMs: 15_000,
      lastEventId: firstId === undefined ? undefined : "3",
      resumedId: firstId,
    },
    route: { kind: RequestKind.stream, timeoutMs: 15_000, resumable: true },
    service: "engines",
  } as unknown as RoutedRequest;
}
