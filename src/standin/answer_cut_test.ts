import assert from "node:assert/strict";
import { connect } from "node:net";
import { once } from "node:events";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { StandinBackendServer } from "./backend_server.ts";
import {
  type AnswerCut,
  CutEnding,
  NO_FAULTS,
} from "./backend_server_options.ts";
import {
  completeStreamBody,
  DeclaredEnd,
  sendClientRequest,
} from "./platform_client.ts";
import { PLAIN_ANSWER_BODY } from "./_platform_answer.ts";
import { tryConnect } from "../router/try_connect.ts";

const EVENTS = 6;
const POLL_MS = 10;

async function start(
  t: TestContext,
  { model, cut }: { model?: string; cut?: AnswerCut },
): Promise<StandinBackendServer> {
  const server = await StandinBackendServer.create({
    id: "i-1",
    model,
    events: EVENTS,
    faults: { ...NO_FAULTS, isUnframed: true, cut },
  });
  t.after(() => server.close());
  return server;
}

function ask(server: StandinBackendServer, id = "a") {
  const [ipAddress = "", port] = server.address.split(":");
  const entry = { ipAddress, clientPort: Number(port) };
  return sendClientRequest(entry, `/${id}`, { "attempt-id": id });
}

for (const model of [undefined, "m"]) {
  const kind = model === undefined ? "plain answer" : "stream";
  const whole = model === undefined
    ? PLAIN_ANSWER_BODY
    : completeStreamBody(EVENTS);

  test(`whole ${kind} has neither a length nor chunks`, async (t) => {
    const server = await start(t, { model });
    const asked = await ask(server);
    assert.equal(asked.body, whole);
    assert.equal(asked.declaredEnd, DeclaredEnd.connection);
    const { whole: sent, cut } = server.unframedAnswers;
    assert.deepEqual([sent.length, cut.length], [1, 0]);
  });

  for (const isReset of [false, true]) {
    for (const ending of Object.values(CutEnding)) {
      test(`${kind} is cut, ${ending}, reset: ${isReset}`, async (t) => {
        const server = await start(t, { model, cut: { isReset, ending } });
        // A reset may discard what has arrived, also the head.
        const asked = await ask(server).catch((error) => {
          if (!isReset) throw error;
        });
        if (asked) {
          assert.ok(whole.startsWith(asked.body) && asked.body !== whole);
          assert.ok(isReset || asked.body.length > 0);
          assert.equal(asked.isComplete, !isReset);
          assert.equal(asked.declaredEnd, DeclaredEnd.connection);
        }
        const { whole: sent, cut } = server.unframedAnswers;
        assert.deepEqual([sent.length, cut.length], [0, 1]);
        const isFreed = ending === CutEnding.lingers;
        const after = isFreed ? "refused" : "reached";
        while (await tryConnect(server.address) !== after) await sleep(POLL_MS);
      });
    }
  }
}

test("answers in progress are cut with their server", async (t) => {
  const cut = { isReset: false, ending: CutEnding.lingers };
  const server = await start(t, { cut });
  server.faults.bodyLateMs = 1000;
  const asked = await Promise.all(["a", "b"].map((id) => ask(server, id)));
  const { connection } = DeclaredEnd;
  const ends = asked.map(({ declaredEnd }) => declaredEnd);
  assert.deepEqual(ends, [connection, connection]);
  assert.equal(server.unframedAnswers.cut.length, 2);
});

test("server that restarts with its address answers again, one that is silent does not", async (t) => {
  const cut = { isReset: false, ending: CutEnding.silent };
  const server = await start(t, { cut });
  await ask(server);
  const [host = "", port] = server.address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => {});
  await once(socket, "connect");
  socket.write("GET /v1/report HTTP/1.1\r\nhost: a\r\n\r\n");
  let answer = "";
  socket.on("data", (data) => answer += data);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  server.id = "i-2";
  await server.restart();
  await closed;
  assert.equal(answer, "");
  assert.equal((await ask(server)).headers["server-seal"], "seal-i-2");
});
