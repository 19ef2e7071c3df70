/**
 * Bounds what the connections of an HTTP server make the process hold. Each connection and each request
 * has an account in the budget of {@link ClientMemory}. Connections with many unanswered requests are
 * read no further, heads must arrive in time, and what a client sends after a refusal is dropped.
 */
import type {
  IncomingMessage,
  Server as HttpServer,
  ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { ClientErrorCode } from "./client_errors.ts";
import type { ClientMemory, MemoryAccount } from "./client_memory.ts";
import type { Owned } from "./lifecycle.ts";
import { PacedInput } from "./paced_input.ts";

/** Memory that Node takes for an open connection. */
const CONNECTION_BYTES = 12 * 1024;
/** Memory that Node and the process take for a request, without its head and body. */
const REQUEST_BYTES = 8 * 1024;
/** Most memory for each byte of a head: short names and values become objects. */
const HEAD_FACTOR = 10;
/** Memory for a name or value, beside its characters. */
const FIELD_BYTES = 32;
/** Bytes that may wait unread in the kernel for a connection that is read no further. */
const UNREAD_BYTES = 64 * 1024;
/** Requests of one connection that are read before the first of them is answered. */
const MAX_UNANSWERED = 8;
/** Interval at which the times of connections are checked. */
const SWEEP_MS = 500;
/** Time for a client to read its refusal before its connection is reset. */
const LINGER_MS = 2000;
/** Bytes that are read and dropped in that time. */
const LINGER_BYTES = 4 * 1024 * 1024;

/** What one client may take. */
export interface ConnectionLimits {
  /** Most bytes of a head. */
  headerBytes: number;
  /** Longest time for a head to arrive. */
  headerTimeoutMs: number;
  /** Longest time without a request. */
  idleTimeoutMs: number;
}

/** Settings of a {@link ConnectionGuard}. */
export interface ConnectionGuardOptions {
  memory: ClientMemory;
  /** Most connections that are open at the same time. */
  maxConnections: number;
  /** The limits in force; called for each new connection and at each check. */
  limits(): ConnectionLimits;
}

/** Guards the connections of one HTTP server. */
export class ConnectionGuard implements Owned {
  readonly name = "connection-guard";
  readonly #server: HttpServer;
  readonly #options: ConnectionGuardOptions;
  readonly #connections = new Map<Socket, GuardedConnection>();
  readonly #sweep: NodeJS.Timeout;

  private constructor(server: HttpServer, options: ConnectionGuardOptions) {
    this.#server = server;
    this.#options = options;
    // Node checks its own times by the clock, also right after a pause of the process.
    server.headersTimeout = 0;
    // After Node's own listener, which attaches the parser.
    server.on("connection", (socket) => this.#add(socket));
    server.prependListener("request", (request, response) => {
      this.#connections.get(request.socket)?.begin(request, response);
    });
    server.prependListener("clientError", (_error, socket) => {
      this.#connections.get(socket as Socket)?.fail();
      // Node leaves the connection to whoever listens.
      if (server.listenerCount("clientError") === 1) socket.destroy();
    });
    this.#sweep = setInterval(() => this.#check(), SWEEP_MS);
    this.#sweep.unref();
  }

  /**
   * @param server A server that doesn't listen yet.
   * @param options Budget and limits.
   * @returns The guard of its connections.
   */
  static create(
    server: HttpServer,
    options: ConnectionGuardOptions,
  ): ConnectionGuard {
    return new ConnectionGuard(server, options);
  }

  /**
   * @param request A request of the server.
   * @returns Its account, to which its body is charged; undefined if its connection is closed.
   */
  accountOf(request: IncomingMessage): MemoryAccount | undefined {
    return this.#connections.get(request.socket)?.accountOf(request);
  }

  /** Ends the checks. */
  close(): void {
    clearInterval(this.#sweep);
  }

  #add(socket: Socket): void {
    if (socket.destroyed) return;
    const { memory, maxConnections } = this.#options;
    // The budget leaves room for as many connections as there are descriptors for.
    const ownBytes = Math.max(
      CONNECTION_BYTES,
      Math.floor(memory.maxBytes / maxConnections),
    );
    const connection = new GuardedConnection(socket, {
      memory,
      ownBytes,
      maxHeadBytes: () => this.#options.limits().headerBytes,
      refuse: (error) => this.#server.emit("clientError", error, socket),
    });
    this.#connections.set(socket, connection);
    socket.once("close", () => {
      this.#connections.delete(socket);
      connection.close();
    });
    connection.charge();
  }

  #check(): void {
    const limits = this.#options.limits();
    for (const connection of this.#connections.values()) {
      connection.check(limits);
    }
  }
}

/** Why the client of a connection is refused, with the code that selects its answer. */
export class RefusedConnection extends Error {
  override readonly name = "RefusedConnection";
  readonly code: ClientErrorCode;

  /** @param code What the client has exceeded. */
  constructor(code: ClientErrorCode) {
    super(`Connection refused: ${code}`);
    this.code = code;
  }
}

interface GuardedConnectionOptions {
  memory: ClientMemory;
  /** Charged for the connection itself. */
  ownBytes: number;
  maxHeadBytes(): number;
  /** Answers a client whose request has not arrived whole, and closes the connection. */
  refuse(error: RefusedConnection): void;
}

/** One connection of a client. */
class GuardedConnection {
  readonly #socket: Socket;
  readonly #options: GuardedConnectionOptions;
  readonly #account: MemoryAccount;
  readonly #input: PacedInput;
  readonly #destroySoon: () => void;
  /** Requests without a complete response, with their accounts. */
  readonly #requests = new Map<IncomingMessage, MemoryAccount>();
  /** Number of checks that have found the current head, or the wait for a first one. */
  #checks = 0;
  #hasRequested = false;
  #hasFailed = false;
  /** Number of checks since the connection lingers. */
  #lingerChecks: number | undefined;

  constructor(socket: Socket, options: GuardedConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#account = options.memory.open();
    this.#account.onEvicted = () => this.#evict();
    this.#account.isBusy = () =>
      this.#requests.size > 0 && !this.#input.isHeldBack &&
      this.#lingerChecks === undefined;
    this.#input = PacedInput.create(socket, {
      mayRead: () => this.#requests.size < MAX_UNANSWERED,
      onRead: () => this.#inspect(),
    });
    this.#destroySoon = socket.destroySoon.bind(socket);
    // Closing a connection with unread bytes resets it, and its client may lose the answer.
    socket.destroySoon = () =>
      this.#isReceiving ? this.#linger() : this.#destroySoon();
  }

  /** Charges what the connection holds beside its requests. */
  charge(): void {
    const { headBytes, waitingBytes, isHeldBack } = this.#input;
    const unreadBytes = isHeldBack ? UNREAD_BYTES : 0;
    const sizeBytes = this.#options.ownBytes + HEAD_FACTOR * headBytes +
      waitingBytes +
      unreadBytes;
    if (sizeBytes !== this.#account.sizeBytes) this.#account.resize(sizeBytes);
  }

  begin(request: IncomingMessage, response: ServerResponse): void {
    const headBytes = this.#input.endHead({
      sizeBytes: declaredBytes(request),
      isComplete: () => request.complete,
    });
    this.#checks = 0;
    this.#hasRequested = true;
    const account = this.#options.memory.open();
    this.#requests.set(request, account);
    response.once("close", () => this.#end(request));
    this.charge();
    const fieldBytes = FIELD_BYTES * request.rawHeaders.length;
    account.resize(REQUEST_BYTES + headBytes + fieldBytes);
  }

  accountOf(request: IncomingMessage): MemoryAccount | undefined {
    return this.#requests.get(request);
  }

  /** Reports bytes that are no request; the client may be sending more of them. */
  fail(): void {
    this.#hasFailed = true;
  }

  close(): void {
    this.#account.close();
    for (const account of this.#requests.values()) account.close();
    this.#requests.clear();
  }

  /** Counts time in checks, so that a pause of the process is not taken for one of the client. */
  check({ headerTimeoutMs, idleTimeoutMs }: ConnectionLimits): void {
    if (this.#lingerChecks !== undefined) {
      this.#lingerChecks++;
      if (this.#lingerChecks * SWEEP_MS > LINGER_MS) this.#socket.destroy();
      return;
    }
    const isInHead = this.#input.headBytes > 0;
    const isUnused = !this.#hasRequested && !isInHead;
    if (!isInHead && !isUnused) {
      this.#checks = 0;
      return;
    }
    const waitedMs = this.#checks * SWEEP_MS;
    this.#checks++;
    if (isUnused && waitedMs > idleTimeoutMs) this.#socket.destroy();
    else if (isInHead && waitedMs > headerTimeoutMs && !this.#hasFailed) {
      this.#refuse(ClientErrorCode.requestTimeout);
    }
  }

  /** Whether the client may still be sending what is not read any more. */
  get #isReceiving(): boolean {
    return this.#hasFailed || this.#input.waitingBytes > 0 ||
      [...this.#requests.keys()].some(({ complete }) => !complete);
  }

  #end(request: IncomingMessage): void {
    this.#requests.get(request)?.close();
    this.#requests.delete(request);
    if (this.#socket.destroyed) return;
    if (this.#requests.size === 0) {
      this.#account.sinceMs = this.#options.memory.nowMs;
    }
    this.#input.continue();
    this.charge();
  }

  /** Ends the connection behind its last answer, and drops what still arrives for a while. */
  #linger(): void {
    if (this.#lingerChecks !== undefined) return;
    this.#lingerChecks = 0;
    this.#socket.end();
    this.#input.drop(LINGER_BYTES);
    this.charge();
  }

  /** Charges what was read; a head that is too large is read no further. */
  #inspect(): void {
    this.charge();
    const isTooLarge = this.#input.headBytes > this.#options.maxHeadBytes();
    if (isTooLarge && !this.#hasFailed) {
      this.#refuse(ClientErrorCode.headerOverflow);
    }
  }

  #evict(): void {
    const isInHead = this.#requests.size === 0 && this.#input.headBytes > 0;
    if (!isInHead || this.#hasFailed) return void this.#socket.destroy();
    this.#refuse(ClientErrorCode.noMemory);
    // The parser holds the head until the connection is closed.
    this.#destroySoon();
  }

  #refuse(code: ClientErrorCode): void {
    this.#options.refuse(new RefusedConnection(code));
  }
}

/** Returns the length that a request declares for its body; undefined if it is sent in chunks. */
function declaredBytes({ headers }: IncomingMessage): number | undefined {
  if (headers["transfer-encoding"] !== undefined) return undefined;
  return Number(headers["content-length"] ?? 0);
}
