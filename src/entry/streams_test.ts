import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeAgent, type Script } from "./_fake_agent.ts";
import { ABC, chunk, eventsOf, send, startEntry, STREAM } from "./_fixture.ts";

const WHOLE: Script = (run) => {
  run.started();
  run.pieces(0, ABC.slice(0, 2));
  run.pieces(2, ABC.slice(2));
  run.end(3);
};

async function ask(script: Script, body: unknown = STREAM) {
  const agent = await FakeAgent.create("a1", script);
  const entry = await startEntry([agent]);
  const answer = await send(entry, { body });
  const text = await answer.text().catch((error: Error) => error.message);
  await entry.stop();
  agent.close();
  return { agent, status: answer.status, text };
}

test("streams pieces in order and closes with done", async () => {
  const { status, text } = await ask(WHOLE);
  assert.equal(status, 200);
  assert.deepEqual(eventsOf(text), [...ABC, "[DONE]"]);
});

test("assembles an answer that is not streamed", async () => {
  const { text } = await ask(WHOLE, { ...STREAM, stream: false });
  const answer = JSON.parse(text);
  assert.equal(answer.object, "chat.completion");
  assert.equal(answer.choices[0].message.content, "abc");
  assert.equal(answer.choices[0].finish_reason, "stop");
  assert.equal(answer.usage.total_tokens, 5);
});

test("cut stream resumes at the missing piece", async () => {
  const { agent, text } = await ask((run, connection) => {
    run.started();
    if (connection === 0) {
      run.pieces(0, ABC.slice(0, 2));
      return run.cut();
    }
    run.pieces(run.start.nextSeq, ABC.slice(run.start.nextSeq));
    run.end(3);
  });
  assert.deepEqual(eventsOf(text), [...ABC, "[DONE]"]);
  assert.deepEqual(
    agent.starts.map(({ nextSeq, attachOnly }) => [nextSeq, attachOnly]),
    [[0, false], [2, true]],
  );
});

test("unresponsive connection is replaced and the run resumed", async () => {
  const { agent, text } = await ask((run, connection) => {
    run.started();
    if (connection === 0) return run.pieces(0, ABC.slice(0, 1));
    run.pieces(0, ABC);
    run.end(3);
  });
  assert.deepEqual(eventsOf(text), [...ABC, "[DONE]"]);
  assert.equal(agent.starts.length, 2);
});

test("caller sees an error if the stream has too few pieces", async () => {
  const { text } = await ask((run) => {
    run.started();
    run.pieces(run.start.nextSeq, ABC.slice(run.start.nextSeq, 2));
    run.end(3);
  });
  assert.doesNotMatch(text, /\[DONE\]/);
  assert.match(text, /event: error|terminated/);
});

test("missing pieces are fetched again", async () => {
  const { text } = await ask((run, connection) => {
    run.started();
    run.pieces(0, ABC.slice(0, 1));
    run.pieces(connection === 0 ? 2 : 1, ABC.slice(connection === 0 ? 2 : 1));
    run.end(3);
  });
  assert.deepEqual(eventsOf(text), [...ABC, "[DONE]"]);
});

test("pieces of another attempt are dropped", async () => {
  const { text } = await ask((run, connection) => {
    if (connection > 0) return WHOLE(run, connection);
    run.started({ attempt: 99 });
    run.pieces(0, [chunk("wrong")]);
    run.end(1);
  });
  assert.deepEqual(eventsOf(text), [...ABC, "[DONE]"]);
});

test("usage chunk is passed through", async () => {
  const usage = JSON.stringify({ choices: [], usage: { total_tokens: 9 } });
  const { agent, text } = await ask((run) => {
    run.started();
    run.pieces(0, [...ABC, usage]);
    run.end(4);
  }, { ...STREAM, stream_options: { include_usage: true } });
  assert.deepEqual(eventsOf(text), [...ABC, usage, "[DONE]"]);
  const { call } = agent.starts[0]!;
  assert.equal(call?.$case, "modelCall");
  assert.match(String(call.value.body), /"include_usage":true/);
});
