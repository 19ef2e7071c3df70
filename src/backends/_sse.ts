/** Parser for server-sent events. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const DATA_FIELD = Buffer.from("data:");
const EMPTY_BUFFER = Buffer.alloc(0);
const LINE_BREAK = Buffer.from("\n");

/** Extracts the data of server-sent events from a byte stream that arrives in chunks. */
export class SseParser {
  /** Bytes of the last line, whose line feed has not arrived yet. */
  #partialLine: Buffer = EMPTY_BUFFER;
  /** Data of the current event; absent until its first data field. */
  #eventData: Buffer | undefined;

  private constructor() {}

  /** @returns A parser at the start of a stream. */
  static create(): SseParser {
    return new SseParser();
  }

  /**
   * @param chunk Next chunk of the stream.
   * @returns Data of all events that this chunk completes.
   */
  push(chunk: Buffer): Buffer[] {
    const bytes = this.#partialLine.length === 0
      ? chunk
      : Buffer.concat([this.#partialLine, chunk]);
    const events: Buffer[] = [];
    let start = 0;
    let end = bytes.indexOf(LINE_FEED, start);
    while (end >= 0) {
      this.#parseLine(trimCarriageReturn(bytes, start, end), events);
      start = end + 1;
      end = bytes.indexOf(LINE_FEED, start);
    }
    this.#partialLine = bytes.subarray(start);
    return events;
  }

  #parseLine(line: Buffer, events: Buffer[]): void {
    if (line.length === 0) {
      if (this.#eventData) events.push(this.#eventData);
      this.#eventData = undefined;
      return;
    }
    if (!isDataField(line)) return;
    const value = fieldValue(line);
    this.#eventData = this.#eventData
      ? Buffer.concat([this.#eventData, LINE_BREAK, value])
      : value;
  }
}

function trimCarriageReturn(bytes: Buffer, start: number, end: number): Buffer {
  const hasReturn = end > start && bytes[end - 1] === CARRIAGE_RETURN;
  return bytes.subarray(start, hasReturn ? end - 1 : end);
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
