import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  decodeOriginMessage,
  encodeOriginMessage,
  isOriginDatagram,
  type OriginMessage,
} from "./origin_message.ts";
import type { OriginRow } from "./origin_table.ts";

const SEED = 20_261_204;

const ROW: OriginRow = {
  id: "9c41d07be2a35f68",
  origin: {
    service: "engines",
    softwareVersion: "v1.1",
    incarnation: undefined,
  },
  leftMs: 20_000,
};

test("messages survive their encoding", () => {
  const unstated = {
    ...ROW,
    origin: {
      service: "engines",
      softwareVersion: undefined,
      incarnation: "i-1/5",
    },
  };
  const messages: OriginMessage[] = [
    { kind: "began", rows: [ROW, unstated] },
    { kind: "ask", sequence: 7, id: "a", service: "engines" },
    {
      kind: "reply",
      sequence: 7,
      row: ROW,
      isMixed: true,
      reachesStore: false,
      onlyVersion: undefined,
    },
    {
      kind: "reply",
      sequence: 8,
      row: undefined,
      isMixed: false,
      reachesStore: true,
      onlyVersion: { softwareVersion: "v1" },
    },
    {
      kind: "reply",
      sequence: 9,
      row: undefined,
      isMixed: false,
      reachesStore: true,
      onlyVersion: { softwareVersion: undefined },
    },
  ];
  for (const message of messages) {
    const bytes = encodeOriginMessage(message);
    assert.ok(isOriginDatagram(bytes));
    assert.deepEqual(decodeOriginMessage(bytes), message);
  }
});

test("process is sent only if the version is not stated", () => {
  const origin = { ...ROW.origin, incarnation: "i-1/5" };
  const bytes = encodeOriginMessage({
    kind: "began",
    rows: [{ ...ROW, origin }],
  });
  assert.ok(!bytes.includes("i-1/5"));
});

test("malformed datagrams are no messages", () => {
  const json = fc.json().map((text) => `{"origin":${text}}`);
  const anyKind = fc.tuple(
    fc.constantFrom("began", "ask", "reply"),
    fc.array(fc.jsonValue()),
  ).map(([kind, values]) => JSON.stringify({ origin: [kind, ...values] }));
  fc.assert(
    fc.property(fc.oneof(json, anyKind), (text) => {
      const message = decodeOriginMessage(Buffer.from(text));
      if (message) encodeOriginMessage(message);
    }),
    { seed: SEED },
  );
  for (const text of ['{"origin":', '{"origin":["ask",1]}', '{"origin":{}}']) {
    assert.equal(decodeOriginMessage(Buffer.from(text)), undefined);
  }
});

test("datagram for a stream is small", () => {
  const bytes = encodeOriginMessage({ kind: "began", rows: [ROW] });
  assert.ok(bytes.length < 100, `${bytes.length} bytes`);
});
