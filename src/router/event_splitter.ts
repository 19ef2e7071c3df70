/** Splits a stream of server-sent events, so that only complete events are forwarded. */
import { ByteCollector } from "../base/mod.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Bytes of a line's end before the line feed that makes it an empty line. */
const MAX_TAIL_BYTES = 2;
const ID_FIELD = Buffer.from("id:");

/** Complete events that were read from the stream. */
export interface CompleteEvents {
  bytes: Buffer;
  /** Ids of these events, in order; events without an id are left out. */
  ids: string[];
}

/** Buffers bytes until an event is complete. */
export class EventSplitter {
  readonly #remainder = ByteCollector.create();
  /** The last bytes of the remainder, with which an empty line may have begun. */
  #tail: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** @returns A splitter with an empty buffer. */
  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Buffered bytes of an incomplete event. */
  get remainder(): Buffer {
    return this.#remainder.bytes;
  }

  /** Number of {@link EventSplitter.remainder} bytes. */
  get remainderBytes(): number {
    return this.#remainder.sizeBytes;
  }

  /**
   * @param chunk Next bytes of the stream.
   * @returns All events that are complete now.
   */
  push(chunk: Buffer): CompleteEvents {
    // The remainder is not searched again: an event may arrive in millions of small chunks.
    const tailBytes = this.#tail.length;
    const searched = tailBytes > 0 ? Buffer.concat([this.#tail, chunk]) : chunk;
    const end = Math.max(0, endOfLastEvent(searched) - tailBytes);
    const bytes = this.#complete(chunk.subarray(0, end));
    this.#remainder.push(chunk.subarray(end));
    const keptBytes = Math.min(MAX_TAIL_BYTES, this.remainderBytes);
    this.#tail = Buffer.from(searched.subarray(searched.length - keptBytes));
    return { bytes, ids: readIds(bytes) };
  }

  /** Drops the remainder. */
  clear(): void {
    this.#remainder.clear();
    this.#tail = Buffer.alloc(0);
  }

  /** Returns the remainder with the bytes that complete it. */
  #complete(bytes: Buffer): Buffer {
    if (bytes.length === 0 || this.remainderBytes === 0) return bytes;
    this.#remainder.push(bytes);
    return this.#remainder.take();
  }
}

/** Returns the offset after the last empty line, or 0 if there is none. */
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
