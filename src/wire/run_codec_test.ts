import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { RunDown, RunOutcome } from "./gen/cicadahitch.ts";
import { encodeRunDown } from "./run_codec.ts";

const SEED = 7;

function generated(message: RunDown): Buffer {
  return Buffer.from(RunDown.encode(message).finish());
}

function piecesOf(firstSeq: number, data: Buffer[]): RunDown {
  return { step: { $case: "pieces", value: { firstSeq, data } } };
}

test("pieces are encoded to the same bytes as by the generated code", () => {
  const firstSeq = fc.oneof(
    fc.constantFrom(0, 1, 127, 128, 16_383, 16_384, 0xffff_ffff),
    fc.integer({ min: 0, max: 0xffff_ffff }),
  );
  const piece = fc.oneof(
    fc.constantFrom(0, 127, 128, 16_383, 16_384).map((size) =>
      Buffer.alloc(size, "x")
    ),
    fc.uint8Array({ maxLength: 400 }).map((bytes) => Buffer.from(bytes)),
  );
  fc.assert(
    fc.property(firstSeq, fc.array(piece, { maxLength: 20 }), (seq, data) => {
      const message = piecesOf(seq, data);
      assert.deepEqual(encodeRunDown(message), generated(message));
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test("other messages are encoded by the generated code", () => {
  const end = {
    outcome: RunOutcome.DONE,
    message: "",
    pieceCount: 3,
    promptTokens: 1,
    completionTokens: 2,
    cachedTokens: 0,
  };
  for (const step of [undefined, { $case: "end" as const, value: end }]) {
    const message = RunDown.fromPartial({ step });
    assert.deepEqual(encodeRunDown(message), generated(message));
  }
});
