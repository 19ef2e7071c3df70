import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { TcpRelay } from "../standin/mod.ts";
import { closeAtEnd } from "./_cleanup.ts";
import { FakeAgent, type FakeRun, type Script } from "./_fake_agent.ts";
import { ABC, chunk, eventsOf, send, startEntry, STREAM } from "./_fixture.ts";
import type { EntryTuning } from "./mod.ts";

const GOOD: Script = (run) => {
  run.started();
  run.pieces(0, ABC);
  run.end(3);
};

async function startBehindRelay(
  script: Script,
  tuning: Partial<EntryTuning> = {},
) {
  const agent = await FakeAgent.create("a0", script);
  const relay = await TcpRelay.create({ targetAddress: agent.address });
  closeAtEnd(() => relay.close());
  const entry = await startEntry([{ address: relay.address }], {
    askTimeoutMs: 150,
    ...tuning,
  });
  const close = async () => {
    await entry.stop();
    await relay.close();
    agent.close();
  };
  return { agent, relay, entry, close };
}

test("request on a frozen connection is served over a new one", async () => {
  const { relay, entry, close } = await startBehindRelay(GOOD);
  assert.equal((await send(entry)).status, 200);
  for (let i = 0; i < 3; i++) {
    relay.freezeOpen();
    const answer = await send(entry, { body: STREAM });
    assert.deepEqual(eventsOf(await answer.text()), [...ABC, "[DONE]"]);
  }
  // Frozen connections stay open at the relay.
  assert.ok(relay.connectionCount >= 4);
  await close();
});

test("streams resume after their connection froze", async () => {
  const pieces = Array.from({ length: 30 }, (_, seq) => chunk(`${seq} `));
  let thaw = () => {};
  const frozen = new Promise<void>((resolve) => thaw = resolve);
  const { agent, relay, entry, close } = await startBehindRelay(
    async (run) => {
      run.started();
      for (let seq = run.start.nextSeq; seq < pieces.length; seq++) {
        run.pieces(seq, [pieces[seq]!]);
        if (seq === 5) await frozen;
        await sleep(10);
      }
      run.end(pieces.length);
    },
  );
  const answers = await Promise.all(
    Array.from({ length: 5 }, () => send(entry, { body: STREAM })),
  );
  relay.freezeOpen();
  thaw();
  const texts = await Promise.all(answers.map((answer) => answer.text()));
  for (const text of texts) {
    assert.deepEqual(eventsOf(text), [...pieces, "[DONE]"]);
  }
  const resumed = agent.starts.filter(({ attachOnly }) => attachOnly);
  assert.equal(new Set(resumed.map(({ ask }) => ask?.runId)).size, 5);
  await close();
});

test("slow engine does not cause repeated reconnects", async () => {
  const connections = new Map<string, FakeRun>();
  const finished = new Set<string>();
  const finish = (run: FakeRun) => {
    run.pieces(0, ABC);
    run.end(3);
  };
  const { entry, close } = await startBehindRelay(async (run) => {
    const runId = run.start.ask!.runId;
    run.started();
    connections.set(runId, run);
    if (finished.has(runId)) return finish(run);
    if (run.start.attachOnly) return;
    await sleep(3000);
    finished.add(runId);
    finish(connections.get(runId)!);
  }, { progressMs: 50, probeMs: 30_000 });
  const answers = await Promise.all(
    Array.from({ length: 8 }, () => send(entry, { body: STREAM })),
  );
  for (const answer of answers) {
    assert.deepEqual(eventsOf(await answer.text()), [...ABC, "[DONE]"]);
  }
  const { opened } = entry.dumpState().channels;
  // Opening a channel after every timeout would give about ten.
  assert.ok(opened <= 2, `${opened} channels opened`);
  await close();
});
