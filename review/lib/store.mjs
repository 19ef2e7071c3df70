// Small stand-in for the platform's store: items, ranges, watches, transactions and leases in memory.
import { createServer } from "node:http";

const MIN_TTL_MS = 1000;
const PAGE_ITEMS = 500;

/** A store that listens on a loopback address. */
export class Store {
  revision = 10;
  #items = new Map();
  #leases = new Map();
  #history = [];
  #waiting = new Set();
  #nextLease = 100;
  #server;

  /** @returns A listening, empty store. */
  static async create(ipAddress) {
    const store = new Store();
    store.#server = createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("end", () => {
        const text = Buffer.concat(chunks).toString();
        const body = text === "" ? {} : JSON.parse(text);
        store.#serve(request, response, body);
      });
    });
    store.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => store.#server.listen(0, ipAddress, resolve));
    store.address = `${ipAddress}:${store.#server.address().port}`;
    return store;
  }

  /** Writes a value as the operator or a worker does. */
  put(key, value) {
    const bytes = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#commit([{ key, value: bytes, lease: 0 }], []);
  }

  /** Deletes a key as the operator or a worker does. */
  delete(key) {
    this.#commit([], [key]);
  }

  close() {
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #serve(request, response, body) {
    const url = new URL(request.url, "http://store");
    const id = Number(url.pathname.split("/").at(-1));
    const answer = (status, value) => {
      response.writeHead(status, { "content-type": "application/json" });
      response.end(JSON.stringify(value ?? {}));
    };
    const path = url.pathname.replace(/\/\d+$/, "");
    switch (`${request.method} ${path}`) {
      case "GET /v1/kv-key": {
        const item = this.#items.get(url.searchParams.get("key"));
        return item
          ? answer(200, { ...item, current_rev: this.revision })
          : answer(404);
      }
      case "GET /v1/kv-range": {
        const prefix = url.searchParams.get("prefix") ?? "";
        const after = url.searchParams.get("after") ?? "";
        const rows = [...this.#items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        return answer(200, {
          items: rows.slice(0, PAGE_ITEMS),
          more_pages: rows.length > PAGE_ITEMS,
          current_rev: this.revision,
        });
      }
      case "GET /v1/kv-watch":
        return this.#watch(url.searchParams, response, answer);
      case "POST /v1/kv-txn":
        return this.#transact(body, answer);
      case "POST /v1/kv-lease": {
        const ttlMs = Math.max(MIN_TTL_MS, body.ttl_ms);
        const lease = this.#nextLease++;
        this.#leases.set(lease, { ttlMs });
        this.#renew(lease);
        return answer(200, { lease, ttl_ms: ttlMs });
      }
      case "POST /v1/kv-keep":
        if (!this.#leases.has(id)) return answer(404);
        this.#renew(id);
        return answer(200, { ttl_ms: this.#leases.get(id).ttlMs });
      case "DELETE /v1/kv-lease-end":
        if (!this.#leases.has(id)) return answer(404);
        this.#end(id);
        return answer(200);
      default:
        return answer(404);
    }
  }

  #watch(query, response, answer) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const poll = () => {
      const events = this.#history.filter((event) =>
        event.revision > after && event.key.startsWith(prefix)
      );
      if (events.length === 0) return false;
      settle(events);
      return true;
    };
    const settle = (events) => {
      this.#waiting.delete(poll);
      clearTimeout(timer);
      answer(200, { events, current_rev: this.revision });
    };
    const timer = setTimeout(() => settle([]), Number(query.get("wait_ms")));
    response.once("close", () => {
      clearTimeout(timer);
      this.#waiting.delete(poll);
    });
    if (!poll()) this.#waiting.add(poll);
  }

  #transact({ expected = [], writes = [], deletes = [] }, answer) {
    const isExpected = ({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) === revision;
    if (!expected.every(isExpected)) {
      const items = expected.map(({ key }) => this.#items.get(key));
      return answer(412, { items: items.filter((item) => item) });
    }
    if (writes.some(({ lease }) => lease && !this.#leases.has(lease))) {
      return answer(404);
    }
    this.#commit(writes, deletes);
    answer(200, { revision: this.revision });
  }

  #commit(writes, deletes) {
    this.revision++;
    const { revision } = this;
    for (const { key, value, lease = 0 } of writes) {
      const created = this.#items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease };
      this.#items.set(key, item);
      this.#history.push(item);
    }
    for (const key of deletes) {
      if (!this.#items.delete(key)) continue;
      this.#history.push({ key, revision, deleted: true });
    }
    for (const poll of [...this.#waiting]) poll();
  }

  #renew(id) {
    const lease = this.#leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.#end(id), lease.ttlMs);
  }

  #end(id) {
    clearTimeout(this.#leases.get(id).timer);
    this.#leases.delete(id);
    const keys = [...this.#items.values()]
      .filter(({ lease }) => lease === id).map(({ key }) => key);
    if (keys.length > 0) this.#commit([], keys);
  }
}
