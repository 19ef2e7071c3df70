/**
 * Answers without a declared end, which their server cuts by closing the connection in order. Guards
 * against forwarding a cut answer with a length or chunks that declare it complete: a server's address
 * may accept connections although the process that wrote the answer has ended, and a server that lives
 * may cut its own answer.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  AddressAfterEnd,
  type ClientResponse,
  completeStreamBody,
  configWith,
  DeclaredEnd,
  headWithoutLength,
  MODEL_REQUEST_HEADERS,
  NO_FAULTS,
  PLAIN_ANSWER_BODY,
  toRequestHeaders,
} from "../standin/mod.ts";
import { askUntilAccepted, serveBytes } from "./_raw_server.ts";
import { createClosedGate } from "./_long_timeout_kit.ts";
import { openWorld, until, useConfig } from "./_world.ts";

/** Routes by what they allow: their path, whole answer, and the part that is sent before the cut. */
const ROUTES = {
  "safe call": { path: "/look/a", whole: PLAIN_ANSWER_BODY, part: "do" },
  "unsafe call": { path: "/book/a", whole: PLAIN_ANSWER_BODY, part: "do" },
  "resumable stream": {
    path: "/stream/a",
    whole: completeStreamBody(4),
    part: completeStreamBody(2),
  },
  "stream that can't be resumed": {
    path: "/once/a",
    whole: completeStreamBody(4),
    part: completeStreamBody(2),
  },
} as const;
type RouteName = keyof typeof ROUTES;

const REFUSAL =
  "HTTP/1.1 503 Full\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";

interface Asked extends ClientResponse {
  /** Requests that reached the server that cuts its answer, and runs at the other server. */
  runs: [number, number];
}

/** Asks a server that cuts its first answer; another server takes what that one leaves. */
async function askCut(
  t: TestContext,
  routeName: RouteName,
  afterEnd?: AddressAfterEnd,
): Promise<Asked> {
  const { path, part } = ROUTES[routeName];
  const world = await openWorld(t);
  const isStream = path === "/stream/a" || path === "/once/a";
  const raw = await serveBytes(t, world, {
    id: "i-raw",
    service: isStream ? "engines" : "plain",
    answer: (socket, id, nth) => {
      if (nth > 1) return socket.write(REFUSAL);
      socket.write(headWithoutLength(id) + part);
      if (afterEnd) raw.end(afterEnd);
      else socket.end();
    },
  });
  const other = isStream ? await world.engine("i-2") : await world.worker(
    "i-2",
  );
  // The first run goes to the server that cuts its answer.
  other.faults.refuse = 1;
  const headers = isStream ? MODEL_REQUEST_HEADERS : {};
  const asked = await askUntilAccepted(world, path, headers);
  return { ...asked, runs: [raw.requests.length, other.runs.length] };
}

function assertNotDeclaredWhole(
  routeName: RouteName,
  { status, body, isComplete, declaredEnd }: ClientResponse,
): void {
  const isWhole = body === ROUTES[routeName].whole;
  const isDeclared = isComplete && declaredEnd !== DeclaredEnd.connection;
  assert.ok(isWhole || status !== 200 || !isDeclared, `${status} ${body}`);
}

function assertRunOnce(routeName: RouteName, [first, other]: Asked["runs"]) {
  const isRepeatable = routeName === "safe call" ||
    routeName === "resumable stream";
  assert.ok(first + other <= (isRepeatable ? 2 : 1), `${first} + ${other}`);
}

for (const name of Object.keys(ROUTES) as RouteName[]) {
  for (const afterEnd of Object.values(AddressAfterEnd)) {
    test(`cut answer isn't declared whole: ${name}, its server ends and the address ${afterEnd}`, async (t) => {
      const asked = await askCut(t, name, afterEnd);
      assertNotDeclaredWhole(name, asked);
      assertRunOnce(name, asked.runs);
    });
  }

  test(`cut answer isn't declared whole: ${name}, its server lives on`, async (t) => {
    const asked = await askCut(t, name);
    assertNotDeclaredWhole(name, asked);
    assertRunOnce(name, asked.runs);
  });
}

/** A stream that one server declares and cuts, and a server without a declared end goes on with. */
async function askResumed(
  t: TestContext,
  { rest, maxAttempts }: { rest: string; maxAttempts: number },
): Promise<ClientResponse> {
  const world = await openWorld(t);
  await useConfig(world, configWith(2, { maxAttempts }));
  const gate = createClosedGate();
  const stall = { afterEvent: 2, pauseMs: 0, opened: gate.opened };
  const faults = { ...NO_FAULTS, cutAfterEvents: 2, stall };
  const first = await world.worker("i-1", { model: "m", faults });
  const answer = askUntilAccepted(world, "/stream/a", MODEL_REQUEST_HEADERS);
  await until(() => first.runs.length > 0);
  faults.refuse = Infinity;
  const third = await world.engine("i-3");
  third.faults.refuse = Infinity;
  const raw = await serveBytes(t, world, {
    id: "i-raw",
    service: "engines",
    answer: (socket, id, nth) => {
      if (nth > 1) return socket.write(REFUSAL);
      third.faults.refuse = 0;
      socket.end(headWithoutLength(id) + rest);
    },
  });
  gate.open();
  const asked = await answer;
  assert.equal(asked.declaredEnd, DeclaredEnd.chunks);
  assert.ok(raw.requests.length > 0);
  return asked;
}

test("stream with a declared end isn't ended by a connection that closes", async (t) => {
  const [part, whole] = [completeStreamBody(2), completeStreamBody(3)];
  const rest = whole.slice(part.length);
  assert.ok(!(await askResumed(t, { rest, maxAttempts: 2 })).isComplete);
});

test("stream with a declared end that a connection without one ends is confirmed elsewhere", async (t) => {
  const [part, whole] = [completeStreamBody(2), completeStreamBody(4)];
  const rest = whole.slice(part.length);
  const asked = await askResumed(t, { rest, maxAttempts: 3 });
  assert.equal(asked.body, whole);
  assert.ok(asked.isComplete);
});

// Guards against taking an address that accepts connections for the process that cut two answers.
test("stream without a declared end is resumed if a declared answer is cut with it", async (t) => {
  const world = await openWorld(t);
  const part = completeStreamBody(2);
  const raw = await serveBytes(t, world, {
    id: "i-raw",
    service: "engines",
    answer: (socket, id) => {
      if (id === "unframed") return socket.write(headWithoutLength(id) + part);
      const head = headWithoutLength(id).trimEnd();
      socket.write(`${head}\r\ncontent-length: 999\r\n\r\n${part}`);
    },
  });
  const answers = ["framed", "unframed"].map((id) =>
    askUntilAccepted(world, "/stream/a", {
      ...MODEL_REQUEST_HEADERS,
      ...toRequestHeaders({ id }),
    })
  );
  await until(() => raw.requests.length === 2);
  await world.engine("i-2");
  raw.end(AddressAfterEnd.silent);
  for (const answer of answers) {
    assert.equal((await answer).body, completeStreamBody(4));
  }
});
