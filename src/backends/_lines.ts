/** Splits a byte stream into lines of text. */

const LINE_FEED = 0x0a;

/**
 * @param body Chunks of UTF-8 text.
 * @returns All lines without line feeds, including empty ones; drops an unterminated last line.
 */
export async function* readLines(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<string> {
  let partialLine: Buffer = Buffer.alloc(0);
  for await (const chunk of body) {
    const bytes = partialLine.length === 0
      ? chunk
      : Buffer.concat([partialLine, chunk]);
    let start = 0;
    let end = bytes.indexOf(LINE_FEED, start);
    while (end >= 0) {
      yield bytes.toString("utf8", start, end);
      start = end + 1;
      end = bytes.indexOf(LINE_FEED, start);
    }
    partialLine = bytes.subarray(start);
  }
}
