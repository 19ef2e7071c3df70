import assert from "node:assert/strict";
import { test } from "node:test";
import { createForwarderSetup } from "./_request_forwarder_kit.ts";
import type { PartialAnswer } from "./attempt.ts";
import { RequestForwarder } from "./request_forwarder.ts";

const SMALL_BYTES = 64 * 1024;

/** Returns how a request ends whose servers answer with an error of this size, and then with none. */
async function endAfterFailure(
  setup: ReturnType<typeof createForwarderSetup>,
  sizeBytes: number,
) {
  const ended = RequestForwarder.create(setup.parts, setup.task).run();
  await setup.advance(0);
  setup.sends[0]!.answer = {
    head: { status: 500, headers: {}, isFramed: true, isFirst: true },
    facts: { status: 500 },
  } as unknown as PartialAnswer;
  setup.deliver(0, { kind: "whole", body: Buffer.alloc(sizeBytes) });
  await setup.advance(10);
  const end = {
    kind: "unknown",
    reason: "ECONNRESET",
    isBroken: true,
  } as const;
  for (let i = 1; i < 3; i++) {
    if (setup.sends[i]) setup.deliver(i, { kind: "over", end });
    await setup.advance(10);
  }
  return await ended;
}

// Guards against a memory use of 16 MB for each request that is sent again after a large error.
test("only small error responses are kept while other servers are tried", async (t) => {
  const small = await endAfterFailure(createForwarderSetup(t), SMALL_BYTES);
  assert.deepEqual(small, { kind: "answered", status: 500 });
  t.mock.reset();
  const large = await endAfterFailure(createForwarderSetup(t), SMALL_BYTES + 1);
  assert.equal(large.kind, "given_up");
});
