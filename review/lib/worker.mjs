// Small stand-in for a worker of a plain service. It answers each request whole, after its work time.
import { createServer } from "node:http";

/** A worker that listens on a loopback address and registers in the store. */
export class Worker {
  /** Requests that arrived, with the times at which they began and ended here. */
  runs = [];
  #server;

  static async create({ ipAddress, id, service, zone, workMs, body }) {
    const worker = new Worker();
    Object.assign(worker, { id, service, zone, workMs, body });
    worker.#server = createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on(
        "end",
        () => worker.#serve(request, response, Buffer.concat(chunks)),
      );
      request.on("error", () => {});
    });
    worker.#server.keepAliveTimeout = 30_000;
    await new Promise((resolve) =>
      worker.#server.listen(0, ipAddress, resolve)
    );
    worker.address = `${ipAddress}:${worker.#server.address().port}`;
    return worker;
  }

  /** The worker's entry in the list of workers. */
  get registration() {
    const { service, address, zone } = this;
    return {
      service,
      address,
      zone,
      version: "v1",
      slots: 6,
      state: "ready",
      cold_left_ms: 0,
      sequence: 0,
    };
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #serve(request, response, received) {
    const { headers } = request;
    const id = headers["attempt-id"];
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "Instance-Id": this.id });
      return response.end();
    }
    const run = {
      id,
      worker: this.id,
      method: request.method,
      path: request.url,
      bytes: received.length,
      body: received,
      headers,
      beganAtMs: Date.now(),
    };
    this.runs.push(run);
    const timer = setTimeout(() => {
      run.endedAtMs = Date.now();
      const body = this.body ?? Buffer.from(`answer to ${id}\n`);
      response.writeHead(200, {
        "Attempt-Id": id,
        "Server-Seal": `seal-${id}`,
        "Content-Length": body.length,
      });
      response.end(body);
    }, this.workMs);
    response.once("close", () => {
      clearTimeout(timer);
      if (run.endedAtMs === undefined) run.droppedAtMs = Date.now();
    });
  }
}

/**
 * @param options Name of the service, fields of its route and of the service, and tenants.
 * @returns A configuration with one service and one route to it.
 */
export function configOf(
  { version = 3, service, route, fields, tenants = [] },
) {
  return {
    version,
    routes: [{
      name: "r-case",
      host: "desk.example",
      prefix: "/case/",
      priority: 2,
      service,
      max_attempts: 1,
      allow_anonymous: tenants.length === 0,
      sticky_sessions: false,
      ...route,
    }],
    services: [{
      name: service,
      health_path: "/health",
      max_connections: 100,
      protocol: "h1",
      tls: false,
      ...fields,
    }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants,
  };
}
