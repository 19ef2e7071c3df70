import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { SseParser } from "./_sse.ts";

const SEED = 20_261_203;

function parse(chunks: Buffer[]): string[] {
  const parser = SseParser.create();
  return chunks.flatMap((chunk) => parser.push(chunk)).map(String);
}

function splitBytes(bytes: Buffer, lengths: number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let start = 0;
  for (const length of lengths) {
    chunks.push(bytes.subarray(start, start + length));
    start += length;
  }
  return [...chunks, bytes.subarray(start)];
}

test("parsed events do not depend on chunk boundaries", () => {
  const events = fc.array(
    fc.string({ unit: "binary" }).map((text) =>
      text.replace(/[\r\n]/g, "") + "."
    ),
  );
  const lengths = fc.array(fc.nat(20));
  const breaks = fc.constantFrom("\n", "\r\n");
  fc.assert(
    fc.property(events, lengths, breaks, (events, lengths, lineBreak) => {
      const text = events.map((data) => `data: ${data}${lineBreak.repeat(2)}`);
      const bytes = Buffer.from(text.join(""));
      const expected = events.map((data) => Buffer.from(data).toString());
      assert.deepEqual(parse(splitBytes(bytes, lengths)), expected);
    }),
    { seed: SEED },
  );
});

test("comments, other fields and incomplete events are ignored", () => {
  const text =
    ": hello\n\nevent: x\nid: 1\ndata:a\ndata: b\n\ndata: unfinished\n";
  assert.deepEqual(parse([Buffer.from(text)]), ["a\nb"]);
});
