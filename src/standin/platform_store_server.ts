/** Stand-in for the users' platform's store: its published HTTP calls over a memory store. */
import {
  type KeyValueEntry,
  MemoryStore,
  type StoreFailure,
  type TableEvent,
  type Write,
} from "../store/mod.ts";
import { type HostRequest, HttpHost } from "./_http_host.ts";

/** Settings of a {@link StandinPlatformStore}. */
export interface StandinPlatformStoreOptions {
  /** `ip:port`; port 0: any free one. */
  listenAddress: string;
}

const DEFAULT_OPTIONS: StandinPlatformStoreOptions = {
  listenAddress: "127.0.0.1:0",
};

interface Answer {
  status: number;
  body?: unknown;
}

/** A transaction as it is sent. */
interface SentTransaction {
  expected?: { key: string; revision: number }[];
  writes?: { key: string; value: string; lease?: number }[];
  deletes?: string[];
}

/** The platform's store, with the faults of {@link MemoryStore}. */
export class StandinPlatformStore {
  readonly store = MemoryStore.create();
  /** Fields that are sent in place of an item's own, by key: what another writer left there. */
  readonly spoilt = new Map<string, object>();
  #host!: HttpHost;

  private constructor() {}

  /**
   * @param options Where to listen.
   * @returns A store that is up.
   */
  static async create(
    options: Partial<StandinPlatformStoreOptions> = {},
  ): Promise<StandinPlatformStore> {
    const server = new StandinPlatformStore();
    server.#host = await HttpHost.create({
      ...DEFAULT_OPTIONS,
      ...options,
      handle: (request) => server.#serve(request),
    });
    return server;
  }

  /** `ip:port`. */
  get address(): string {
    return this.#host.address;
  }

  /**
   * Writes as the operator or a backend server does.
   *
   * @param key The key.
   * @param value Written as JSON.
   */
  async put(key: string, value: unknown): Promise<void> {
    const bytes = Buffer.from(JSON.stringify(value));
    await this.store.commit([], [{ kind: "put", key, value: bytes }]);
  }

  /** @param config The operator's newest configuration. */
  configure(config: unknown): Promise<void> {
    return this.put("op/config", config);
  }

  /** @param key The key that goes. */
  async delete(key: string): Promise<void> {
    await this.store.commit([], [{ kind: "delete", key }]);
  }

  /** Refuses connections and cuts those that are open. */
  down(): Promise<void> {
    return this.#host.down();
  }

  /** Listens again, on the same port. */
  up(): Promise<void> {
    return this.#host.up();
  }

  /** Stops for good. */
  async close(): Promise<void> {
    this.store.close();
    await this.#host.down();
  }

  async #serve(request: HostRequest): Promise<void> {
    const answer = await this.#answer(request);
    const { response } = request;
    if (!answer) {
      // The answer is lost, and so is its connection.
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
    const found = await this.store.get(query.get("key") ?? "");
    if (found.isErr) return refusal(found.error);
    if (!found.value) return { status: 404 };
    return {
      status: 200,
      body: { ...this.#item(found.value), ...this.#revision() },
    };
  }

  async #range(query: URLSearchParams): Promise<Answer | undefined> {
    const listing = await this.store.list(query.get("prefix") ?? "");
    if (listing.isErr) return refusal(listing.error);
    const after = query.get("after") ?? "";
    const rows = listing.value.entries.filter(({ key }) => key > after);
    const page = rows.slice(0, PAGE_ITEMS);
    return {
      status: 200,
      body: {
        items: page.map((entry) => this.#item(entry)),
        more_pages: rows.length > page.length,
        ...this.#revision(),
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
    try {
      for await (
        const step of this.store.watch(prefix, after + 1n, stop.signal)
      ) {
        if (step.isErr) return refusal(step.error);
        if (step.value.kind === "progress") {
          if (events.length > 0) break;
          continue;
        }
        events.push(step.value);
        // Steps of one commit come together; what follows later is another answer's.
        stop.abort();
      }
    } finally {
      clearTimeout(timer);
    }
    return {
      status: 200,
      body: {
        events: events.map((event) => this.#changed(event)),
        current_rev: lastOf(events, after),
      },
    };
  }

  async #commit(sent: SentTransaction): Promise<Answer | undefined> {
    const expect = (sent.expected ?? []).map(({ key, revision }) => ({
      key,
      modRevision: BigInt(revision),
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
    if (outcome.isErr) return refusal(outcome.error);
    const { value } = outcome;
    return value.kind === "committed"
      ? { status: 200, body: { revision: Number(value.revision) } }
      : {
        status: 412,
        body: { items: value.current.map((entry) => this.#item(entry)) },
      };
  }

  async #grant(sent: { ttl_ms: number }): Promise<Answer | undefined> {
    const granted = await this.store.grantLease(sent.ttl_ms);
    if (granted.isErr) return refusal(granted.error);
    const { leaseId, ttlMs } = granted.value;
    return { status: 200, body: { lease: Number(leaseId), ttl_ms: ttlMs } };
  }

  async #renew(leaseId: bigint): Promise<Answer | undefined> {
    const renewed = await this.store.renewLease(leaseId);
    if (renewed.isErr) return refusal(renewed.error);
    const { ttlMs } = renewed.value;
    return ttlMs > 0
      ? { status: 200, body: { ttl_ms: ttlMs } }
      : { status: 404 };
  }

  async #revoke(leaseId: bigint): Promise<Answer | undefined> {
    const revoked = await this.store.revokeLease(leaseId);
    return revoked.isErr ? refusal(revoked.error) : { status: 200 };
  }

  #item(entry: KeyValueEntry): Record<string, unknown> {
    return {
      key: entry.key,
      value: Buffer.from(entry.value).toString("base64"),
      revision: Number(entry.modRevision),
      created: Number(entry.createRevision),
      lease: 0,
      ...this.spoilt.get(entry.key),
    };
  }

  #changed(event: TableEvent): Record<string, unknown> {
    if (event.kind === "put") return this.#item(event.entry);
    const revision = Number(event.revision);
    return { key: event.key, revision, deleted: true };
  }

  #revision(): { current_rev: number } {
    return { current_rev: Number(this.store.table.revision) };
  }
}

/** Items of one page of a range. */
const PAGE_ITEMS = 500;

/** Nothing: the answer is lost. */
function refusal(failure: StoreFailure): Answer | undefined {
  switch (failure.kind) {
    case "unavailable":
      return { status: 503 };
    case "compacted":
      return { status: 410 };
    case "effect_unknown":
      return undefined;
  }
}

function lastOf(events: TableEvent[], after: bigint): number {
  const last = events.at(-1);
  if (!last) return Number(after);
  const revision = last.kind === "put" ? last.entry.modRevision : last.revision;
  return Number(revision);
}
