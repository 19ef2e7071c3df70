/** Lines of text, cut from bytes. */

const LINE_FEED = 0x0a;

/**
 * @param body Bytes in UTF-8.
 * @returns Its lines without their breaks; empty lines as well, a last line without a break not.
 */
export async function* readLines(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<string> {
  let rest: Buffer = Buffer.alloc(0);
  for await (const chunk of body) {
    const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
    let start = 0;
    let end = bytes.indexOf(LINE_FEED, start);
    while (end >= 0) {
      yield bytes.toString("utf8", start, end);
      start = end + 1;
      end = bytes.indexOf(LINE_FEED, start);
    }
    rest = bytes.subarray(start);
  }
}
