import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { EventTooLarge, MAX_EVENT_BYTES, SseParser } from "./_sse.ts";

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

// Guards against an event without end that fills the memory of the process, by one line or by many.
test("event that is too large ends the stream", () => {
  for (const piece of ["x".repeat(65_536), `data: ${"x".repeat(1000)}\n`]) {
    const parser = SseParser.create();
    parser.push(Buffer.from("data: "));
    const pushEndlessly = () => {
      for (let bytes = 0; bytes <= 2 * MAX_EVENT_BYTES; bytes += piece.length) {
        parser.push(Buffer.from(piece));
      }
    };
    assert.throws(pushEndlessly, EventTooLarge);
  }
});

// Guards against a copy of the whole line for each chunk: this test then takes minutes.
test("event of a million chunks is returned once it is complete", () => {
  const data = "x".repeat(1_000_000);
  const parser = SseParser.create();
  for (const byte of Buffer.from(`data: ${data}\r\n`)) {
    assert.equal(parser.push(Buffer.of(byte)).length, 0);
  }
  assert.deepEqual(parser.push(Buffer.from("\n")).map(String), [data]);
});
