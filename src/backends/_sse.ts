/** Parser for server-sent events. */
import { ByteCollector } from "../base/mod.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const DATA_FIELD = Buffer.from("data:");
const LINE_BREAK = Buffer.from("\n");

/** Largest event; its bytes are buffered until it is complete. */
export const MAX_EVENT_BYTES = 4 * 1024 * 1024;

/** An event is larger than {@link MAX_EVENT_BYTES}. */
export class EventTooLarge extends Error {
  override readonly name = "EventTooLarge";
}

/** Extracts the data of server-sent events from a byte stream that arrives in chunks. */
export class SseParser {
  /** Bytes of the last line, whose line feed has not arrived yet. */
  readonly #partialLine = ByteCollector.create();
  /** Data of the current event. */
  readonly #eventData = ByteCollector.create();
  /** The current event has a data field. */
  #hasData = false;

  private constructor() {}

  /** @returns A parser at the start of a stream. */
  static create(): SseParser {
    return new SseParser();
  }

  /**
   * @param chunk Next chunk of the stream.
   * @returns Data of all events that this chunk completes.
   * @throws {EventTooLarge} If the event that this chunk begins or continues is too large.
   */
  push(chunk: Buffer): Buffer[] {
    const events: Buffer[] = [];
    let start = 0;
    let end = chunk.indexOf(LINE_FEED, start);
    while (end >= 0) {
      const line = this.#completeLine(chunk.subarray(start, end));
      this.#parseLine(trimCarriageReturn(line), events);
      start = end + 1;
      end = chunk.indexOf(LINE_FEED, start);
    }
    this.#partialLine.push(chunk.subarray(start));
    const bufferedBytes = this.#partialLine.sizeBytes +
      this.#eventData.sizeBytes;
    if (bufferedBytes > MAX_EVENT_BYTES) throw new EventTooLarge();
    return events;
  }

  #completeLine(bytes: Buffer): Buffer {
    if (this.#partialLine.sizeBytes === 0) return bytes;
    this.#partialLine.push(bytes);
    return this.#partialLine.take();
  }

  #parseLine(line: Buffer, events: Buffer[]): void {
    if (line.length === 0) {
      if (this.#hasData) events.push(this.#eventData.take());
      this.#hasData = false;
      return;
    }
    if (!isDataField(line)) return;
    if (this.#hasData) this.#eventData.push(LINE_BREAK);
    this.#eventData.push(fieldValue(line));
    this.#hasData = true;
  }
}

function trimCarriageReturn(line: Buffer): Buffer {
  const hasReturn = line.at(-1) === CARRIAGE_RETURN;
  return hasReturn ? line.subarray(0, -1) : line;
}

function isDataField(line: Buffer): boolean {
  const { length } = DATA_FIELD;
  return line.length >= length &&
    DATA_FIELD.compare(line, 0, length) === 0;
}

function fieldValue(line: Buffer): Buffer {
  const { length } = DATA_FIELD;
  return line.subarray(line[length] === SPACE ? length + 1 : length);
}
