import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { onReset } from "../base/socket_reset.ts";
import { RefusalCode, RunOutcome } from "../wire/gen/cicadahitch.ts";
import { FakeAgent, KEY, type Script } from "./_fake_agent.ts";
import { type Call, errorOf, send, startEntry } from "./_fixture.ts";

const POOL = { pool: "booking" };
const BOOKED: Script = (run) => {
  run.started();
  run.send({
    $case: "head",
    value: {
      status: 201,
      headers: [
        { name: "x-booking", value: "7" },
        { name: "Connection", value: "x-hop" },
        { name: "x-hop", value: "1" },
      ],
    },
  });
  run.pieces(0, ["bo", "oked"]);
  run.end(2);
};
const BOOK: Call = { path: "/services/booking/book/1?b=2", body: "dog" };

async function startBooking(scripts: Script[]) {
  const agents = await Promise.all(
    scripts.map((script, index) => FakeAgent.create(`s${index}`, script, POOL)),
  );
  const entry = await startEntry(agents);
  const close = async () => {
    await entry.stop();
    for (const agent of agents) agent.close();
  };
  return { entry, agents, close };
}

function callsOf(agents: FakeAgent[]) {
  return agents.flatMap(({ starts }) => starts).map(({ call }) => {
    if (call?.$case !== "plainCall") throw new TypeError("Not a plain call");
    return call.value;
  });
}

test("method, path, body, status and end-to-end headers are passed through", async () => {
  const { entry, agents, close } = await startBooking([BOOKED]);
  const answer = await send(entry, {
    ...BOOK,
    method: "PATCH",
    headers: { "x-dog": "Rex", "proxy-authorization": "no" },
  });
  assert.equal(await answer.text(), "booked");
  assert.equal(answer.status, 201);
  assert.equal(answer.headers.get("x-booking"), "7");
  assert.equal(answer.headers.get("x-hop"), null);
  const [call] = callsOf(agents);
  assert.equal(call!.method, "PATCH");
  assert.equal(call!.path, "/book/1?b=2");
  assert.equal(String(call!.body), "dog");
  assert.equal(call!.atMostOnce, true);
  const names = call!.headers.map(({ name }) => name.toLowerCase());
  assert.ok(names.includes("x-dog"));
  assert.ok(names.includes("x-cicadahitch-team"));
  for (const dropped of ["authorization", "proxy-authorization", "host"]) {
    assert.ok(!names.includes(dropped), dropped);
  }
  await close();
});

test("only calls that the branch lists are repeatable", async () => {
  const { entry, agents, close } = await startBooking([BOOKED]);
  const paths = ["/slots", "/slots/1?x=1", "/slotsx", "/slots/%2e%2e/book"];
  for (const path of paths) {
    const call = { path: `/services/booking${path}`, method: "GET" };
    await (await send(entry, call)).text();
  }
  const once = callsOf(agents).map(({ atMostOnce }) => atMostOnce);
  assert.deepEqual(once, [false, false, true, true]);
  await close();
});

test("calls with the same idempotency key go to the same agent", async () => {
  const { entry, agents, close } = await startBooking(
    [BOOKED, BOOKED, BOOKED, BOOKED],
  );
  const headers = { "idempotency-key": "booking-1" };
  for (let i = 0; i < 6; i++) {
    await (await send(entry, { ...BOOK, headers })).text();
  }
  const counts = agents.map(({ starts }) => starts.length).sort();
  assert.deepEqual(counts, [0, 0, 0, 6]);
  await close();
});

test("a call that may have run is not sent to another agent", async () => {
  const unclear: Script = (run) => {
    run.started();
    run.end(0, { outcome: RunOutcome.UNKNOWN });
  };
  const { entry, agents, close } = await startBooking([unclear, unclear]);
  const answer = await send(entry, BOOK);
  const error = await errorOf(answer);
  assert.equal(error.execution, "unknown");
  assert.equal(callsOf(agents).length, 1);
  await close();
});

test("a refused call is sent to the agent that the refusal names", async () => {
  const { entry, agents, close } = await startBooking([BOOKED, BOOKED, BOOKED]);
  let refused = 0;
  for (const [index, agent] of agents.entries()) {
    const named = agents[(index + 1) % 3]!.address;
    agent.script = (run, connection) => {
      if (refused++ > 0) return BOOKED(run, connection);
      run.refuse({ code: RefusalCode.OVERLOADED, tryAddress: named });
    };
  }
  const headers = { "idempotency-key": "booking-2" };
  const answer = await send(entry, { ...BOOK, headers });
  await answer.text();
  assert.equal(answer.status, 201);
  const first = agents.findIndex(({ starts }) =>
    starts[0]?.ask?.runId.endsWith(".1")
  );
  assert.equal(agents[(first + 1) % 3]!.starts.length, 1);
  await close();
});

test("an agent without the branch gets the branch and the call again", async () => {
  let count = 0;
  const { entry, agents, close } = await startBooking([(run, connection) => {
    if (count++ > 0) return BOOKED(run, connection);
    run.refuse({ code: RefusalCode.STALE_CONFIG });
  }]);
  const answer = await send(entry, BOOK);
  await answer.text();
  assert.equal(answer.status, 201);
  assert.equal(agents[0]!.pushes, 1);
  await close();
});

// Guards against closing a cut answer in order, which a caller of HTTP/1.0 takes for its end.
test("answer that breaks off is reset for a caller without chunks", async () => {
  const { entry, close } = await startBooking([(run) => {
    run.started();
    const value = { status: 200, headers: [] };
    run.send({ $case: "head", value });
    run.pieces(run.start.nextSeq, ["bo"].slice(run.start.nextSeq));
    run.end(2);
  }]);
  const [host, port] = entry.httpAddress.split(":");
  const socket = connect({ host, port: Number(port) });
  let text = "";
  let isReset = false;
  onReset(socket, () => isReset = true);
  socket.on("error", () => {});
  socket.on("data", (bytes) => text += bytes);
  socket.write(
    `GET ${BOOK.path} HTTP/1.0\r\nauthorization: Bearer ${KEY}\r\n\r\n`,
  );
  await new Promise((resolve) => socket.once("close", resolve));
  assert.match(text, / 200 [^]*\r\n\r\nbo$/);
  assert.ok(isReset);
  await close();
});
