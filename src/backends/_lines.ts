/** Splits a byte stream into lines of text. */
import { ByteCollector } from "../base/mod.ts";

const LINE_FEED = 0x0a;

/** Largest line; its bytes are buffered until it is complete. */
const MAX_LINE_BYTES = 4 * 1024 * 1024;

/** A line is larger than {@link MAX_LINE_BYTES}. */
export class LineTooLarge extends Error {
  override readonly name = "LineTooLarge";
}

/**
 * @param body Chunks of UTF-8 text.
 * @returns All lines without line feeds, including empty ones; drops an unterminated last line.
 * @throws {LineTooLarge} If a line is too large.
 */
export async function* readLines(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<string> {
  const partialLine = ByteCollector.create();
  for await (const chunk of body) {
    let start = 0;
    let end = chunk.indexOf(LINE_FEED, start);
    while (end >= 0) {
      partialLine.push(chunk.subarray(start, end));
      yield partialLine.take().toString("utf8");
      start = end + 1;
      end = chunk.indexOf(LINE_FEED, start);
    }
    partialLine.push(chunk.subarray(start));
    if (partialLine.sizeBytes > MAX_LINE_BYTES) throw new LineTooLarge();
  }
}
