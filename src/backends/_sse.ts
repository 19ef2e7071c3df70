/** Server-sent events, cut from bytes. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const DATA_FIELD = Buffer.from("data:");
const NOTHING = Buffer.alloc(0);
const LINE_BREAK = Buffer.from("\n");

/** Cuts a stream of bytes into the data of its events. */
export class SseParser {
  /** Start of a line whose end has not come yet. */
  #rest: Buffer = NOTHING;
  /** Data of the event that has not ended yet. */
  #data: Buffer | undefined;

  private constructor() {}

  /** @returns A parser at the start of a stream. */
  static create(): SseParser {
    return new SseParser();
  }

  /**
   * @param chunk Next bytes of the stream.
   * @returns Data of the events that end in it.
   */
  push(chunk: Buffer): Buffer[] {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const events: Buffer[] = [];
    let start = 0;
    let end = bytes.indexOf(LINE_FEED, start);
    while (end >= 0) {
      this.#line(withoutReturn(bytes, start, end), events);
      start = end + 1;
      end = bytes.indexOf(LINE_FEED, start);
    }
    this.#rest = bytes.subarray(start);
    return events;
  }

  #line(line: Buffer, events: Buffer[]): void {
    if (line.length === 0) {
      if (this.#data) events.push(this.#data);
      this.#data = undefined;
      return;
    }
    if (!isData(line)) return;
    const value = fieldValue(line);
    this.#data = this.#data
      ? Buffer.concat([this.#data, LINE_BREAK, value])
      : value;
  }
}

function withoutReturn(bytes: Buffer, start: number, end: number): Buffer {
  const hasReturn = end > start && bytes[end - 1] === CARRIAGE_RETURN;
  return bytes.subarray(start, hasReturn ? end - 1 : end);
}

function isData(line: Buffer): boolean {
  const { length } = DATA_FIELD;
  return line.length >= length &&
    DATA_FIELD.compare(line, 0, length) === 0;
}

function fieldValue(line: Buffer): Buffer {
  const { length } = DATA_FIELD;
  return line.subarray(line[length] === SPACE ? length + 1 : length);
}
