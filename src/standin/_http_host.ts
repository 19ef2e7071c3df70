/** HTTP listener of the stand-ins; it can be stopped, restarted and made to cut its connections. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PortRange } from "./port_range.ts";

/**
 * Ports below the ephemeral range: while a listener is down, the system may give an ephemeral port to
 * any connection. `fetch` refuses some ports below these.
 */
const PORTS = PortRange.create({
  firstPort: 10_100,
  lastPort: 19_999,
  blockPorts: 100,
});

/** A request whose body was read completely. */
export interface HostRequest {
  method: string;
  url: URL;
  headers: IncomingMessage["headers"];
  body: Buffer;
  response: ServerResponse;
}

/** Tries to listen again on the same port, and the time between them. */
const MAX_TRIES = 100;
const TRY_INTERVAL_MS = 20;

/** Handles a request and writes its response. */
export type HostHandler = (request: HostRequest) => void | Promise<void>;

/** Settings of a {@link HttpHost}. */
export interface HttpHostOptions {
  /** `ip:port`; port 0 selects a free port. */
  listenAddress: string;
  handle: HostHandler;
}

/** What a listener does with new connections. */
export type HostAcceptance =
  /** It answers their requests. */
  | "serve"
  /** It closes them. */
  | "close"
  /** It never answers their requests. */
  | "silent";

/** How a process ends its connections, and what its address does from then on. */
export interface ConnectionsEnd {
  /** Whether the connections are reset, rather than closed in order. */
  isReset: boolean;
  acceptance: HostAcceptance;
}

/** An HTTP listener with injectable connection faults. */
export class HttpHost {
  readonly #handle: HostHandler;
  readonly #host: string;
  readonly #sockets = new Set<Socket>();
  #port: number;
  #server: Server | undefined;
  #acceptance: HostAcceptance = "serve";

  private constructor(options: HttpHostOptions) {
    const colon = options.listenAddress.lastIndexOf(":");
    this.#host = options.listenAddress.slice(0, colon);
    this.#port = Number(options.listenAddress.slice(colon + 1));
    this.#handle = options.handle;
  }

  /**
   * @param options Address and request handler.
   * @returns A listener that accepts connections.
   */
  static async create(options: HttpHostOptions): Promise<HttpHost> {
    const host = new HttpHost(options);
    await host.up();
    return host;
  }

  /** `ip:port` of the listener. */
  get address(): string {
    return `${this.#host}:${this.#port}`;
  }

  /** Starts listening, on the same port as before {@link down}. */
  async up(): Promise<void> {
    if (this.#server) return;
    const server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#server = server;
    this.#acceptance = "serve";
    server.on("connection", (socket) => this.#track(socket));
    let tries = 0;
    while (!await this.#listen(server, this.#port || await PORTS.next())) {
      if (!this.#port) continue;
      // Another process may have been given the port in the meantime, for a short time.
      if (++tries > MAX_TRIES) throw new Error(`Port ${this.#port} is in use`);
      await sleep(TRY_INTERVAL_MS);
    }
    this.#port = (server.address() as AddressInfo).port;
  }

  /** Stops listening and cuts all open connections. */
  async down(): Promise<void> {
    const server = this.#server;
    if (!server) return;
    this.#server = undefined;
    const closed = new Promise<void>((resolve) =>
      server.close(() => resolve())
    );
    this.cut();
    await closed;
  }

  /** Resets all open connections. */
  cut(): void {
    for (const socket of this.#sockets) {
      // Node ignores a reset on a socket that is already being ended, and leaves it open.
      if (socket.writableEnded) socket.destroy();
      else socket.resetAndDestroy();
    }
  }

  /**
   * Ends all open connections as a process does that exits, and keeps listening.
   *
   * @param end How they end, and what happens to new ones.
   */
  endConnections({ isReset, acceptance }: ConnectionsEnd): void {
    this.#acceptance = acceptance;
    if (isReset) return this.cut();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Listens, unless the port is in use. */
  #listen(server: Server, port: number): Promise<boolean> {
    return new Promise((resolve, reject) => {
      const onError = (error: NodeJS.ErrnoException) =>
        error.code === "EADDRINUSE" ? resolve(false) : reject(error);
      server.once("error", onError);
      server.listen(port, this.#host, () => {
        server.off("error", onError);
        resolve(true);
      });
    });
  }

  #track(socket: Socket): void {
    socket.on("error", () => {});
    if (this.#acceptance === "close") return void socket.destroy();
    socket.setNoDelay(true);
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    response.on("error", () => {});
    if (this.#acceptance === "silent") return;
    try {
      const body = await readBody(request);
      const url = new URL(request.url ?? "/", `http://${this.address}`);
      const { method = "GET", headers } = request;
      await this.#handle({ method, url, headers, body, response });
    } catch (error) {
      answerFailure(response, error);
    }
  }
}

/**
 * Sends a JSON response.
 *
 * @param response Response to write.
 * @param status HTTP status.
 * @param value Value of the body.
 */
export function answerJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": body.length,
  });
  response.end(body);
}

/**
 * @param request A request with a JSON body.
 * @returns The parsed body; an empty object if the body is empty.
 */
export function readJson<T>(request: HostRequest): T {
  if (request.body.length === 0) return {} as T;
  return JSON.parse(request.body.toString()) as T;
}

/**
 * Stops a listener and restarts it after a delay, without waiting for the restart.
 *
 * @param host Listener to stop.
 * @param downMs Delay until the restart.
 */
export async function takeDownFor(
  host: HttpHost,
  downMs: number,
): Promise<void> {
  await host.down();
  setTimeout(() => void host.up(), downMs).unref();
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

function answerFailure(response: ServerResponse, error: unknown): void {
  const message = error instanceof Error ? error.message : "Unknown failure";
  if (response.headersSent) return void response.destroy();
  answerJson(response, 400, { error: { message } });
}
