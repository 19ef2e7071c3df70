/** Fake engine that only publishes cache events, to measure an agent's cost of handling them. */
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { SAMPLE_MODEL } from "../cli/sample_team.ts";
import { cacheSalt } from "../placement/chain.ts";
import type { CacheEvent } from "../backends/engine.ts";

/** Team that owns the blocks of all published events. */
export const TEAM = "lakeshore";
/** Workspace of {@link TEAM} that owns the blocks. */
export const WORKSPACE = "duluth-salon";

const BATCH_MS = 100;
const HEARTBEAT_MS = 500;
const BLOCK_BYTES = 256;
const MODEL = { model: SAMPLE_MODEL, adapter: "", weightsVersion: "1" };

/** Engine API that serves no requests and publishes cache events at a fixed rate. */
export class EventEngine {
  readonly #server: Server;
  #subscriber: ServerResponse | undefined;
  #nextSeq = 1;

  private constructor() {
    this.#server = createServer((request, response) => {
      const path = request.url?.split("?")[0];
      if (path === "/cache_events") return this.#subscribe(response);
      response.end(JSON.stringify(this.#responseFor(path)));
    });
  }

  /** @returns An engine that listens on a free local port. */
  static async create(): Promise<EventEngine> {
    const engine = new EventEngine();
    engine.#server.listen(0, "127.0.0.1");
    await once(engine.#server, "listening");
    return engine;
  }

  /** Base URL of the engine. */
  get url(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /**
   * Publishes cache events, and a heartbeat every 500 ms.
   *
   * @param rate Events per second; 0 sends heartbeats only.
   * @returns Function that stops publishing.
   */
  publishAtRate(rate: number): () => void {
    const heartbeat = setInterval(
      () => this.#subscriber?.write("\n"),
      HEARTBEAT_MS,
    );
    if (rate === 0) return () => clearInterval(heartbeat);
    let due = 0;
    const timer = setInterval(() => {
      due += rate * BATCH_MS / 1000;
      this.#publish(Math.floor(due));
      due %= 1;
    }, BATCH_MS);
    return () => {
      clearInterval(heartbeat);
      clearInterval(timer);
    };
  }

  /** Closes the server and all open connections immediately. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #subscribe(response: ServerResponse): void {
    this.#subscriber = response;
    response.write(`${JSON.stringify({ incarnation: "e" })}\n`);
  }

  #publish(count: number): void {
    const lines: string[] = [];
    for (let index = 0; index < count; index++) {
      lines.push(JSON.stringify(cacheEventAt(this.#nextSeq++)) + "\n");
    }
    this.#subscriber?.write(lines.join(""));
  }

  #responseFor(path: string | undefined): unknown {
    const incarnation = "e";
    if (path === "/cache") {
      return { incarnation, nextSeq: this.#nextSeq, blocks: [] };
    }
    if (path === "/load") {
      const idle = { running: 0, waiting: 0, prefillTokensQueued: 0 };
      return { incarnation, ageMs: 0, ...idle };
    }
    const costs = { prefillMsPerToken: 0.05, decodeMsPerToken: 2 };
    const sizes = {
      blockBytes: BLOCK_BYTES,
      maxRunning: 16,
      cacheBlocks: 100_000,
    };
    return { incarnation, models: [MODEL], ...sizes, ...costs };
  }
}

/** Alternates between storing a block (odd `seq`) and removing the same block (even `seq`). */
function cacheEventAt(seq: number): CacheEvent {
  const blockKey = `block-${Math.ceil(seq / 2)}`;
  if (seq % 2 === 0) return { kind: "removed", seq, blockKey };
  return {
    kind: "stored",
    seq,
    blockKey,
    parentKey: "",
    cacheSalt: cacheSalt(TEAM, WORKSPACE),
    model: MODEL,
    content: blockKey.padEnd(BLOCK_BYTES, "."),
  };
}
