import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { RefusalCode } from "../wire/gen/cicadahitch.ts";
import { FakeAgent, type Script } from "./_fake_agent.ts";
import {
  ABC,
  type Call,
  CHAT,
  errorOf,
  eventsOf,
  send,
  startEntry,
  STREAM,
} from "./_fixture.ts";

/** Consecutive unanswered attaches; far more than `maxAttaches`, after which others may be tried. */
const UNANSWERED = 8;
const FAST = { progressMs: 20, probeMs: 20, cancelTimeoutMs: 40 };
const SLOTS: Call = { path: "/services/booking/slots", method: "GET" };

/** Sends the first piece, leaves attaches unanswered, and then sends the missing pieces. */
function pausing(unanswered: Script): Script {
  return (run, connection) => {
    if (connection > 0 && connection <= UNANSWERED) {
      return unanswered(run, connection);
    }
    run.started();
    if (connection === 0) {
      run.pieces(0, ABC.slice(0, 1));
      return unanswered(run, connection);
    }
    run.pieces(run.start.nextSeq, ABC.slice(run.start.nextSeq));
    run.end(ABC.length);
  };
}

const NO_ANSWER: Script = () => {};
const CLOSE: Script = (run) => run.cut();

async function start(
  context: TestContext,
  scripts: Script[],
  { pool }: { pool?: string } = {},
) {
  const agents = await Promise.all(
    scripts.map((script, index) =>
      FakeAgent.create(`a${index}`, script, { pool })
    ),
  );
  const entry = await startEntry(agents, FAST);
  context.after(async () => {
    await entry.stop();
    for (const agent of agents) agent.close();
  });
  return { agents, entry };
}

const UNANSWERED_ATTACHES = [
  ["connections stay silent", NO_ANSWER],
  ["connections are closed", CLOSE],
] as const;

for (const [name, unanswered] of UNANSWERED_ATTACHES) {
  // A started stream was cancelled after a few unanswered attaches, and its caller's connection cut.
  test(`started stream completes after its agent's ${name} for a long time`, async (t) => {
    const { agents, entry } = await start(t, [pausing(unanswered)]);
    const answer = await send(entry, { body: STREAM });
    assert.deepEqual(eventsOf(await answer.text()), [...ABC, "[DONE]"]);
    assert.equal(agents[0]!.cancels.length, 0);
  });

  // A started answer that is not streamed was cancelled, and its caller received an error.
  test(`started answer completes after its agent's ${name} for a long time`, async (t) => {
    const { agents, entry } = await start(t, [pausing(unanswered)]);
    const answer = await send(entry, { body: CHAT });
    assert.equal(answer.status, 200);
    assert.match(await answer.text(), /"content":"abc"/);
    assert.equal(agents[0]!.cancels.length, 0);
  });

  // A call that must not be repeated was cancelled while its agent was unresponsive, and was
  // reported as lost.
  test(`call with an idempotency key is answered after its agent's ${name} for a long time`, async (t) => {
    const { agents, entry } = await start(t, [pausing(unanswered)]);
    const headers = { "idempotency-key": "k" };
    const answer = await send(entry, { body: CHAT, headers });
    assert.equal(answer.status, 200);
    await answer.text();
    const fresh = agents[0]!.starts.filter(({ attachOnly }) => !attachOnly);
    assert.equal(fresh.length, 1);
    assert.equal(agents[0]!.cancels.length, 0);
  });
}

// A run that was still in progress was ended because several consecutive connections missed pieces.
test("started stream completes after repeatedly missing pieces", async (t) => {
  const { entry } = await start(t, [
    pausing((run) => {
      if (!run.start.attachOnly) return run.cut();
      run.started();
      run.pieces(run.start.nextSeq + 1, ABC.slice(2));
    }),
  ]);
  const answer = await send(entry, { body: STREAM });
  assert.deepEqual(eventsOf(await answer.text()), [...ABC, "[DONE]"]);
});

// The first run was cancelled before another agent had accepted the call, and all others refused it.
test("call of an unresponsive agent is answered by that agent if others refuse it", async (t) => {
  let isFirst = true;
  const script: Script = (run, connection) => {
    if (run.start.attachOnly) {
      if (connection < UNANSWERED) return;
      run.started();
      run.pieces(0, ABC);
      return run.end(ABC.length);
    }
    if (!isFirst) return run.refuse({ code: RefusalCode.OVERLOADED });
    isFirst = false;
    run.started();
  };
  const { agents, entry } = await start(t, [script, script], {
    pool: "booking",
  });
  const answer = await send(entry, SLOTS);
  assert.equal(await answer.text(), ABC.join(""));
  assert.equal(agents.flatMap(({ cancels }) => cancels).length, 0);
});

// The first run was cancelled before another agent had started the call.
test("call of an unresponsive agent is cancelled only after another agent has started it", async (t) => {
  const seen: string[] = [];
  let first = "";
  const { agents, entry } = await start(t, [NO_ANSWER, NO_ANSWER], {
    pool: "booking",
  });
  for (const [index, agent] of agents.entries()) {
    const id = `a${index}`;
    agent.onCancel = () => {
      seen.push("cancelled");
      return {};
    };
    agent.script = (run) => {
      if (run.start.attachOnly) return;
      first ||= id;
      run.started();
      if (first === id) return;
      seen.push("taken");
      run.pieces(0, ABC);
      run.end(ABC.length);
    };
  }
  const answer = await send(entry, SLOTS);
  assert.equal(await answer.text(), ABC.join(""));
  assert.equal(seen[0], "taken");
});

// Guards against waiting for an agent process that has ended, whose run can't be recovered.
test("started stream fails at once if its agent refuses connections", async (t) => {
  const { agents, entry } = await start(t, [(run) => {
    run.started();
    run.pieces(0, ABC.slice(0, 1));
  }]);
  const answer = await send(entry, { body: STREAM });
  const reader = answer.body!.getReader();
  await reader.read();
  agents[0]!.close();
  let rest = "";
  try {
    for (;;) {
      const { done, value } = await reader.read();
      if (done) break;
      rest += Buffer.from(value).toString();
    }
  } catch {
    // The connection is destroyed after the error event.
  }
  assert.match(rest, /run_lost/);
});

// Guards against waiting for a run that its agent no longer knows.
test("started call fails at once if its agent no longer knows it", async (t) => {
  const { agents, entry } = await start(t, [(run) => {
    if (run.start.attachOnly) {
      return run.refuse({ code: RefusalCode.HOLD_GONE });
    }
    run.started();
    run.pieces(0, ABC.slice(0, 1));
    run.cut();
  }]);
  const headers = { "idempotency-key": "k" };
  const answer = await send(entry, { body: CHAT, headers });
  assert.equal((await errorOf(answer)).code, "run_lost");
  assert.equal(agents[0]!.cancels.length, 1);
});
