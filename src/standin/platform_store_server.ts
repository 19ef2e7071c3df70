/** Stand-in for the platform's store: its HTTP API on top of a memory store. */
import {
  type KeyValueEntry,
  MemoryStore,
  type StoreFailure,
  type StoreSnapshot,
  type TableEvent,
  type Write,
} from "../store/mod.ts";
import { positionAt } from "../store/position.ts";
import { type HostRequest, HttpHost } from "./_http_host.ts";

/** Settings of a {@link StandinPlatformStore}. */
export interface StandinPlatformStoreOptions {
  /** `ip:port`; port 0 selects a free port. */
  listenAddress: string;
  /** Era until the first {@link StandinPlatformStore.restore}. */
  firstEra: number;
  /** Called for each call that arrives, with the IP address of the caller. */
  onCall?(fromAddress: string): void;
}

const DEFAULT_OPTIONS: StandinPlatformStoreOptions = {
  listenAddress: "127.0.0.1:0",
  firstEra: 1,
};

/** Settings of {@link StandinPlatformStore.restore}. */
export interface RestoreOptions {
  /** Time without a listener; 0: connections are cut, and new ones are served at once. */
  awayMs: number;
}

/** Rises by one each time the store comes back from a copy; part of all answers. */
const ERA_HEADER = "store-era";

/** Status and JSON body of an answer. */
interface Answer {
  status: number;
  body?: unknown;
}

/** Request body of a transaction. */
interface TransactionBody {
  expected?: { key: string; revision: number }[];
  writes?: { key: string; value: string; lease?: number }[];
  deletes?: string[];
}

/** A store for tests, with the faults of {@link MemoryStore}. */
export class StandinPlatformStore {
  readonly store: MemoryStore;
  /** Fields that replace those of a sent item, by key; simulates malformed items of other writers. */
  readonly fieldOverrides = new Map<string, object>();
  #host!: HttpHost;

  private constructor(firstEra: number) {
    this.store = MemoryStore.create({ firstEra });
  }

  /**
   * @param options Settings that differ from the defaults.
   * @returns A listening, empty store.
   */
  static async create(
    options: Partial<StandinPlatformStoreOptions> = {},
  ): Promise<StandinPlatformStore> {
    const { listenAddress, firstEra } = { ...DEFAULT_OPTIONS, ...options };
    const server = new StandinPlatformStore(firstEra);
    server.#host = await HttpHost.create({
      listenAddress,
      handle: (request) => {
        options.onCall?.(request.response.socket?.remoteAddress ?? "");
        return server.#serve(request);
      },
    });
    return server;
  }

  /** `ip:port` of the listener. */
  get address(): string {
    return this.#host.address;
  }

  /**
   * Writes an entry on behalf of the operator or a backend server.
   *
   * @param key Key of the entry.
   * @param value Value, stored as JSON.
   */
  async put(key: string, value: unknown): Promise<void> {
    const bytes = Buffer.from(JSON.stringify(value));
    await this.store.commit([], [{ kind: "put", key, value: bytes }]);
  }

  /**
   * Publishes a configuration, as the operator does.
   *
   * @param config The new configuration.
   */
  putConfig(config: unknown): Promise<void> {
    return this.put("op/config", config);
  }

  /**
   * Deletes an entry.
   *
   * @param key Key of the entry.
   */
  async delete(key: string): Promise<void> {
    await this.store.commit([], [{ kind: "delete", key }]);
  }

  /** Cuts connections and refuses new ones until {@link up}. */
  down(): Promise<void> {
    return this.#host.down();
  }

  /** Starts listening again after {@link down}, on the same port. */
  up(): Promise<void> {
    return this.#host.up();
  }

  /** @returns A copy of the store, for {@link restore}. */
  copy(): StoreSnapshot {
    return this.store.snapshot();
  }

  /**
   * Goes away, and comes back from a copy. What was written since the copy was made is lost, also
   * leases, and revisions are given out again.
   *
   * @param copy State to come back with.
   * @param options Time until it is back.
   */
  async restore(
    copy: StoreSnapshot,
    { awayMs }: RestoreOptions = { awayMs: 0 },
  ): Promise<void> {
    // The port is kept: another process might be given it while the store is away.
    this.#host.endConnections({ isReset: true, acceptance: "close" });
    await new Promise((resolve) => setTimeout(resolve, awayMs));
    this.store.restore(copy);
    this.#host.endConnections({ isReset: true, acceptance: "serve" });
  }

  /** Stops the store permanently. */
  async close(): Promise<void> {
    this.store.close();
    await this.#host.down();
  }

  async #serve(request: HostRequest): Promise<void> {
    request.response.setHeader(ERA_HEADER, this.store.era);
    const answer = await this.#answer(request);
    const { response } = request;
    if (!answer) {
      // An injected fault lost the answer; the client sees a broken connection.
      response.destroy();
      return;
    }
    response.writeHead(answer.status, { "content-type": "application/json" });
    response.end(
      answer.body === undefined ? undefined : JSON.stringify(answer.body),
    );
  }

  #answer(request: HostRequest): Promise<Answer | undefined> {
    const { pathname } = request.url;
    const id = pathname.slice(pathname.lastIndexOf("/") + 1);
    switch (`${request.method} ${pathname.replace(/\/\d+$/, "")}`) {
      case "GET /v1/kv-key":
        return this.#get(request.url.searchParams);
      case "GET /v1/kv-range":
        return this.#range(request.url.searchParams);
      case "GET /v1/kv-watch":
        return this.#watch(request);
      case "POST /v1/kv-txn":
        return this.#commit(JSON.parse(request.body.toString()));
      case "POST /v1/kv-lease":
        return this.#grant(JSON.parse(request.body.toString()));
      case "POST /v1/kv-keep":
        return this.#renew(BigInt(id));
      case "DELETE /v1/kv-lease-end":
        return this.#revoke(BigInt(id));
      default:
        return Promise.resolve({ status: 404 });
    }
  }

  async #get(query: URLSearchParams): Promise<Answer | undefined> {
    const entry = await this.store.get(query.get("key") ?? "");
    if (entry.isErr) return toFailureAnswer(entry.error);
    if (!entry.value) return { status: 404 };
    return {
      status: 200,
      body: { ...this.#toItem(entry.value), ...this.#currentRevision() },
    };
  }

  async #range(query: URLSearchParams): Promise<Answer | undefined> {
    const listing = await this.store.list(query.get("prefix") ?? "");
    if (listing.isErr) return toFailureAnswer(listing.error);
    const after = query.get("after") ?? "";
    const rows = listing.value.entries.filter(({ key }) => key > after);
    const page = rows.slice(0, PAGE_ITEMS);
    return {
      status: 200,
      body: {
        items: page.map((entry) => this.#toItem(entry)),
        more_pages: rows.length > page.length,
        ...this.#currentRevision(),
      },
    };
  }

  async #watch({ url, response }: HostRequest): Promise<Answer | undefined> {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = BigInt(url.searchParams.get("after") ?? "0");
    const waitMs = Number(url.searchParams.get("wait_ms") ?? "0");
    const stop = new AbortController();
    const timer = setTimeout(() => stop.abort(), waitMs);
    response.once("close", () => stop.abort());
    const events: TableEvent[] = [];
    const { era } = this.store.table.position;
    const from = positionAt(era, after + 1n);
    try {
      for await (
        const step of this.store.watch(prefix, from, stop.signal)
      ) {
        if (step.isErr) return toFailureAnswer(step.error);
        if (step.value.kind === "progress") {
          if (events.length > 0) break;
          continue;
        }
        events.push(step.value);
        // Events of one commit are delivered together; later events belong to the next answer.
        stop.abort();
      }
    } finally {
      clearTimeout(timer);
    }
    return {
      status: 200,
      body: {
        events: events.map((event) => this.#toWatchEvent(event)),
        current_rev: lastRevision(events, after),
      },
    };
  }

  async #commit(sent: TransactionBody): Promise<Answer | undefined> {
    const expect = (sent.expected ?? []).map(({ key, revision }) => ({
      key,
      modPosition: revision === 0
        ? undefined
        : positionAt(this.store.table.position.era, BigInt(revision)),
    }));
    const puts = (sent.writes ?? []).map(({ key, value, lease }): Write => ({
      kind: "put",
      key,
      value: Buffer.from(value, "base64"),
      leaseId: BigInt(lease ?? 0),
    }));
    const deletes = (sent.deletes ?? []).map((key): Write => ({
      kind: "delete",
      key,
    }));
    const outcome = await this.store.commit(expect, [...puts, ...deletes]);
    if (outcome.isErr) return toFailureAnswer(outcome.error);
    const { value } = outcome;
    return value.kind === "committed"
      ? { status: 200, body: { revision: Number(value.position.revision) } }
      : {
        status: 412,
        body: { items: value.current.map((entry) => this.#toItem(entry)) },
      };
  }

  async #grant(sent: { ttl_ms: number }): Promise<Answer | undefined> {
    const granted = await this.store.grantLease(sent.ttl_ms);
    if (granted.isErr) return toFailureAnswer(granted.error);
    const { leaseId, ttlMs } = granted.value;
    return { status: 200, body: { lease: Number(leaseId), ttl_ms: ttlMs } };
  }

  async #renew(leaseId: bigint): Promise<Answer | undefined> {
    const renewed = await this.store.renewLease(leaseId);
    if (renewed.isErr) return toFailureAnswer(renewed.error);
    const { ttlMs } = renewed.value;
    return ttlMs > 0
      ? { status: 200, body: { ttl_ms: ttlMs } }
      : { status: 404 };
  }

  async #revoke(leaseId: bigint): Promise<Answer | undefined> {
    const revoked = await this.store.revokeLease(leaseId);
    return revoked.isErr ? toFailureAnswer(revoked.error) : { status: 200 };
  }

  #toItem(entry: KeyValueEntry): Record<string, unknown> {
    return {
      key: entry.key,
      value: Buffer.from(entry.value).toString("base64"),
      revision: Number(entry.modPosition.revision),
      created: Number(entry.createPosition.revision),
      lease: 0,
      ...this.fieldOverrides.get(entry.key),
    };
  }

  #toWatchEvent(event: TableEvent): Record<string, unknown> {
    if (event.kind === "put") return this.#toItem(event.entry);
    const revision = Number(event.position.revision);
    return { key: event.key, revision, deleted: true };
  }

  #currentRevision(): { current_rev: number } {
    return { current_rev: Number(this.store.table.revision) };
  }
}

/** Maximum number of items in one page of a range. */
const PAGE_ITEMS = 500;

/** @returns The answer for a store failure; undefined if the answer is lost. */
function toFailureAnswer(failure: StoreFailure): Answer | undefined {
  switch (failure.kind) {
    case "unavailable":
      return { status: 503 };
    case "compacted":
      return { status: 410 };
    case "effect_unknown":
      return undefined;
  }
}

function lastRevision(events: TableEvent[], after: bigint): number {
  const last = events.at(-1);
  if (!last) return Number(after);
  const { revision } = last.kind === "put"
    ? last.entry.modPosition
    : last.position;
  return Number(revision);
}
