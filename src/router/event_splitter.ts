/** Splits a stream of server-sent events, so that only whole events are passed on. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = Buffer.from("id:");

/** Whole events that were cut off the front of the stream. */
export interface WholeEvents {
  bytes: Buffer;
  /** Ids of these events, in order; an event without an id has none. */
  ids: string[];
}

/** Collects bytes until an event is whole. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** @returns A splitter that has seen nothing. */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Bytes of an event that is not whole yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  /**
   * @param chunk The next bytes.
   * @returns All events that are whole now.
   */
  push(chunk: Buffer): WholeEvents {
    const all = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = endOfLastEvent(all);
    this.#rest = all.subarray(end);
    const bytes = all.subarray(0, end);
    return { bytes, ids: readIds(bytes) };
  }
}

/** Offset behind the last empty line. */
function endOfLastEvent(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (bytes[at] !== LINE_FEED) continue;
    const before = bytes[at - 1];
    if (before === LINE_FEED) return at + 1;
    if (before !== CARRIAGE_RETURN) continue;
    if (at >= 2 && bytes[at - 2] === LINE_FEED) return at + 1;
  }
  return 0;
}

function readIds(bytes: Buffer): string[] {
  const ids: string[] = [];
  let at = bytes.indexOf(ID_FIELD);
  while (at >= 0) {
    const end = bytes.indexOf(LINE_FEED, at);
    const isLineStart = at === 0 || bytes[at - 1] === LINE_FEED;
    const lineEnd = end < 0 ? bytes.length : end;
    if (isLineStart) {
      ids.push(bytes.toString("latin1", at + ID_FIELD.length, lineEnd).trim());
    }
    at = bytes.indexOf(ID_FIELD, lineEnd);
  }
  return ids;
}
