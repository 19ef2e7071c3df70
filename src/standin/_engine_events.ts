/**
 * Feed of the stand-in engine's cache events. Events are numbered and buffered for reconnecting
 * readers; tests can make the feed drop or delay them.
 */
import type { ServerResponse } from "node:http";
import type { UnnumberedEvent } from "./_engine_cache.ts";

/** Settings of a {@link CacheEventFeed}. */
export interface CacheEventFeedOptions {
  /** Minimum number of recent events that are buffered for reconnecting readers. */
  keptEvents: number;
  /** Interval of heartbeats, which are sent as empty lines. */
  heartbeatMs: number;
}

/** A connected reader. */
interface Reader {
  response: ServerResponse;
  /** Sequence number of the next event to send. */
  nextSeq: number;
}

interface BufferedEvent {
  seq: number;
  line: string;
}

const FIRST_SEQ = 1;

/** Assigns sequence numbers to cache events and streams them to all readers. */
export class CacheEventFeed {
  /** Number of upcoming events that are dropped after they get a sequence number. */
  loseNext = 0;
  /** Delay until an event is sent to readers. */
  delayMs = 0;
  readonly #options: CacheEventFeedOptions;
  readonly #readers = new Set<Reader>();
  #buffer: BufferedEvent[] = [];
  #nextSeq = FIRST_SEQ;
  /** Incremented by {@link reset}, so that delayed events from before the reset are dropped. */
  #generation = 0;
  #isFlushScheduled = false;
  #heartbeat: NodeJS.Timeout | undefined;

  private constructor(options: CacheEventFeedOptions) {
    this.#options = options;
  }

  /**
   * @param options Buffer size and heartbeat interval.
   * @returns An empty feed.
   */
  static create(options: CacheEventFeedOptions): CacheEventFeed {
    return new CacheEventFeed(options);
  }

  /** Sequence number of the next published event. */
  get nextSeq(): number {
    return this.#nextSeq;
  }

  /**
   * Numbers an event and sends it to all readers, unless a fault drops or delays it.
   *
   * @param event A change of the cache.
   */
  publish(event: UnnumberedEvent): void {
    const seq = this.#nextSeq++;
    if (this.loseNext > 0) {
      this.loseNext--;
      return;
    }
    if (this.delayMs > 0) {
      const generation = this.#generation;
      const append = () =>
        generation === this.#generation && this.#append(seq, event);
      setTimeout(append, this.delayMs).unref();
      return;
    }
    this.#append(seq, event);
  }

  /**
   * Adds a reader and sends it the buffered events from `sinceSeq` on, then all new ones.
   *
   * @param response Response that the events are written to.
   * @param sinceSeq First sequence number to send.
   * @param incarnation Current incarnation of the engine, sent in the first line.
   */
  attach(
    response: ServerResponse,
    sinceSeq: number,
    incarnation: string,
  ): void {
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    const nextSeq = this.#nextSeq;
    response.write(`${JSON.stringify({ incarnation, nextSeq })}\n`);
    const reader = { response, nextSeq: sinceSeq };
    this.#readers.add(reader);
    response.once("close", () => this.#detach(reader));
    this.#heartbeat ??= this.#startHeartbeat();
    this.#send(reader);
  }

  /**
   * Simulates a crash: drops all events and readers and restarts the numbering. The engine's HTTP
   * listener closes the connections.
   */
  reset(): void {
    this.#generation++;
    this.#buffer = [];
    this.#nextSeq = FIRST_SEQ;
    for (const reader of [...this.#readers]) this.#detach(reader);
  }

  #append(seq: number, event: UnnumberedEvent): void {
    this.#buffer.push({ seq, line: `${JSON.stringify({ ...event, seq })}\n` });
    const excess = this.#buffer.length - this.#options.keptEvents;
    if (excess > this.#options.keptEvents) this.#buffer.splice(0, excess);
    this.#scheduleFlush();
  }

  /** Defers sending, so that all events of one event-loop turn go out in one write. */
  #scheduleFlush(): void {
    if (this.#isFlushScheduled || this.#readers.size === 0) return;
    this.#isFlushScheduled = true;
    setImmediate(() => {
      this.#isFlushScheduled = false;
      for (const reader of this.#readers) this.#send(reader);
    });
  }

  #send(reader: Reader): void {
    const buffer = this.#buffer;
    let first = buffer.length;
    while (first > 0 && buffer[first - 1]!.seq >= reader.nextSeq) first--;
    if (first === buffer.length) return;
    const lines = buffer.slice(first).map(({ line }) => line);
    reader.nextSeq = buffer[buffer.length - 1]!.seq + 1;
    reader.response.write(lines.join(""));
  }

  #detach(reader: Reader): void {
    this.#readers.delete(reader);
    if (this.#readers.size > 0) return;
    clearInterval(this.#heartbeat);
    this.#heartbeat = undefined;
  }

  #startHeartbeat(): NodeJS.Timeout {
    return setInterval(() => {
      for (const { response } of this.#readers) response.write("\n");
    }, this.#options.heartbeatMs).unref();
  }
}
