import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

const SEED = 20_261_202;

test("only complete events are returned", () => {
  const splitter = EventSplitter.create();
  const first = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  assert.equal(first.bytes.toString(), "id: 1\ndata: a\n\n");
  assert.deepEqual(first.ids, ["1"]);
  const second = splitter.push(Buffer.from("ta: b\n\n"));
  assert.equal(second.bytes.toString(), "id: 2\ndata: b\n\n");
  assert.deepEqual(second.ids, ["2"]);
  assert.equal(splitter.remainder.length, 0);
});

test("incomplete event stays in the buffer", () => {
  const splitter = EventSplitter.create();
  splitter.push(Buffer.from("id: 1\ndata: a\n"));
  assert.equal(splitter.remainder.toString(), "id: 1\ndata: a\n");
});

test("lines may end with carriage return and line feed", () => {
  const splitter = EventSplitter.create();
  const whole = splitter.push(Buffer.from("id: 7\r\ndata: a\r\n\r\nid"));
  assert.deepEqual(whole.ids, ["7"]);
  assert.equal(splitter.remainder.toString(), "id");
});

test("id: within another field is not an event id", () => {
  const splitter = EventSplitter.create();
  const whole = splitter.push(Buffer.from("data: x id: 9\nid: 1\n\n"));
  assert.deepEqual(whole.ids, ["1"]);
});

test("events don't depend on how the stream is split into chunks", () => {
  const events = fc.array(fc.stringMatching(/^[a-z]{0,8}$/), { minLength: 1 });
  fc.assert(
    fc.property(events, fc.array(fc.nat(), { maxLength: 20 }), (data, cuts) => {
      const text = data.map((item, i) => `id: ${i}\ndata: ${item}\n\n`).join(
        "",
      );
      const splitter = EventSplitter.create();
      const ids: string[] = [];
      let output = "";
      const offsets = cuts.map((cut) => cut % text.length).sort((a, b) =>
        a - b
      );
      let from = 0;
      for (const to of [...offsets, text.length]) {
        const whole = splitter.push(Buffer.from(text.slice(from, to)));
        output += whole.bytes.toString();
        ids.push(...whole.ids);
        from = to;
      }
      assert.equal(output, text);
      assert.deepEqual(ids, data.map((_, i) => String(i)));
    }),
    { seed: SEED },
  );
});

// Guards against a search of the whole event for each chunk: this test then takes many minutes.
test("event of millions of chunks is returned once it is complete", () => {
  const event = Buffer.from(`data: ${"x".repeat(2_000_000)}\r\n\r\n`);
  const splitter = EventSplitter.create();
  const returned: Buffer[] = [];
  for (let at = 0; at < event.length; at++) {
    const { bytes } = splitter.push(event.subarray(at, at + 1));
    if (bytes.length > 0) returned.push(bytes);
  }
  assert.equal(returned.length, 1);
  assert.ok(event.equals(returned[0]!));
});
