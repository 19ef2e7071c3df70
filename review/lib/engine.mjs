// Small stand-in for a model worker: it keeps the parts of prompts under their salt, and notes whose they are.
import { createServer } from "node:http";

const PIECES = 3;

/** A model worker that listens on a loopback address. */
export class Engine {
  /** Requests that ran, each with the parts that it found and who made them. */
  runs = [];
  /** Kept parts by salt and chain of ids: who made them. */
  #kept = new Map();
  #peers;
  #server;

  /** @param options Address, id, service, zone, model, time to the first piece, and all engines by address. */
  static async create(options) {
    const engine = new Engine();
    Object.assign(engine, options);
    engine.#peers = options.peers;
    engine.#server = createServer((request, response) => {
      request.resume();
      request.on("end", () => engine.#serve(request, response));
    });
    engine.#server.keepAliveTimeout = 30_000;
    await new Promise((resolve) =>
      engine.#server.listen(0, options.ipAddress, resolve)
    );
    const { port } = engine.#server.address();
    engine.address = `${options.ipAddress}:${port}`;
    engine.#peers.set(engine.address, engine);
    return engine;
  }

  /** The worker's entry in the list of workers. */
  get registration() {
    const { service, address, zone, model } = this;
    return {
      service,
      address,
      zone,
      version: "v1",
      slots: 64,
      state: "ready",
      cold_left_ms: 0,
      stage: "colocated",
      models: [{ name: model, version: 1, adapters: [] }],
      sequence: 0,
    };
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #serve(request, response) {
    const { headers } = request;
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "Instance-Id": this.id });
      return response.end();
    }
    if (request.url === "/v1/report") return this.#report(response);
    const version = headers["expect-version"];
    if (version !== undefined && version !== "1") {
      response.writeHead(421, { "Instance-Id": this.id, "Not-Executed": "1" });
      return response.end();
    }
    const id = headers["attempt-id"];
    const run = {
      id,
      worker: this.id,
      tenant: headers["tenant"],
      salt: headers["cache-salt"] ?? "",
      beganAtMs: Date.now(),
      found: [],
    };
    this.runs.push(run);
    this.#readPrompt(run, headers);
    response.writeHead(200, {
      "Attempt-Id": id,
      "Server-Seal": `seal-${id}`,
      "Content-Type": "text/event-stream",
      "Weight-Versions": "1",
    });
    setTimeout(() => {
      for (let i = 1; i <= PIECES; i++) {
        response.write(`id: ${i}\ndata: piece ${i} of ${id}\n\n`);
      }
      response.end();
    }, this.firstMs);
  }

  /** Takes kept parts, its own and those of the worker in `Kv-Fetch`, and keeps the others as the run's. */
  #readPrompt(run, headers) {
    const ids = headers["prompt-prefix"].split(",").map((part) =>
      part.split(":")[0]
    );
    const source = this.#peers.get(headers["kv-fetch"]);
    let isCached = true;
    for (let i = 0; i < ids.length; i++) {
      const key = [headers["model"], run.salt, ...ids.slice(0, i + 1)].join();
      const maker = this.#kept.get(key) ?? source?.keptBy(key);
      isCached &&= maker !== undefined;
      if (isCached) run.found.push({ part: ids[i], maker });
      this.#kept.set(key, isCached ? maker : run);
    }
  }

  /** @returns The run that made a part which is kept here, if it is. */
  keptBy(key) {
    return this.#kept.get(key);
  }

  #report(response) {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
      stage: "colocated",
      models: [{ name: this.model, version: 1, adapters: [] }],
      busy: false,
      sequence: 0,
      queued: 0,
      running: 0,
      kv_used: 0,
      kv_total: 281_389,
      handles: 0,
    }));
  }
}
