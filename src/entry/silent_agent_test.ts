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

/** Attaches in a row without an answer; many more than are made before another agent is looked for. */
const UNANSWERED = 8;
const FAST = { progressMs: 20, probeMs: 20, cancelTimeoutMs: 40 };
const SLOTS: Call = { path: "/services/booking/slots", method: "GET" };

/** Begins the answer, says nothing for a while, and goes on with what is missing. */
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

const NO_WORD: Script = () => {};
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
  ["connections stay silent", NO_WORD],
  ["connections are closed", CLOSE],
] as const;

for (const [name, unanswered] of UNANSWERED_ATTACHES) {
  // A begun stream was cancelled after a few attaches that nobody answered, and its caller got a cut.
  test(`begun stream is whole after its agent's ${name} for long`, async (t) => {
    const { agents, entry } = await start(t, [pausing(unanswered)]);
    const answer = await send(entry, { body: STREAM });
    assert.deepEqual(eventsOf(await answer.text()), [...ABC, "[DONE]"]);
    assert.equal(agents[0]!.cancels.length, 0);
  });

  // A whole answer that its agent had begun was given up, and its caller got an error.
  test(`begun answer is whole after its agent's ${name} for long`, async (t) => {
    const { agents, entry } = await start(t, [pausing(unanswered)]);
    const answer = await send(entry, { body: CHAT });
    assert.equal(answer.status, 200);
    assert.match(await answer.text(), /"content":"abc"/);
    assert.equal(agents[0]!.cancels.length, 0);
  });

  // A call that may not be repeated was cancelled while its agent was silent, and called lost.
  test(`call with a key is answered after its agent's ${name} for long`, async (t) => {
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

// Pieces that were missing on several connections in a row ended a run that went on.
test("begun stream is whole after its pieces were missing for long", async (t) => {
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

// The first run was cancelled before anybody had taken the call, and nobody did.
test("silent call that others refuse is answered by its first agent", async (t) => {
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

// The first run was cancelled before another agent had taken the call over.
test("silent call is cancelled only after another agent has taken it", async (t) => {
  const seen: string[] = [];
  let first = "";
  const { agents, entry } = await start(t, [NO_WORD, NO_WORD], {
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

// Nobody may wait for an agent whose process is gone: its run can't be had any more.
test("begun stream whose agent refuses connections fails at once", async (t) => {
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
    // The connection is cut behind the error event.
  }
  assert.match(rest, /run_lost/);
});

// A run that its agent has forgotten can't be had by waiting.
test("begun call whose agent has forgotten it fails at once", async (t) => {
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
