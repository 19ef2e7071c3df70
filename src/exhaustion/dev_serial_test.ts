/** Clients that fill the memory of `cicadahitch dev`: its own interface, administration and agents. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { SAMPLE_CALLER_KEY, SAMPLE_MODEL } from "../cli/sample_team.ts";
import { Child } from "../e2e/_child.ts";
import { chunkOf, type ClientScript, Crowd } from "./_crowd.ts";
import { eventually } from "./_entry.ts";

const MEMORY_MB = 320;
const HEAP_MB = 128;
const MAX_BODY_BYTES = 4 * 1024 * 1024;
const LOOPBACK = "127.0.0.1:0";
const PIECE = Buffer.alloc(16_384, "x");
const FILLER = Buffer.alloc(MAX_BODY_BYTES, "x");
const DECLARED_HEAD = headWith(`content-length: ${MAX_BODY_BYTES}`);
const CHUNKED_HEAD = headWith("transfer-encoding: chunked");
const ORDINARY = JSON.stringify({
  model: SAMPLE_MODEL,
  messages: [{ role: "user", content: "Hello" }],
  max_tokens: 4,
});

interface DevFleet {
  child: Child;
  listening: Record<string, string>;
  exit: { text?: string };
}

interface DevCrowd extends ClientScript {
  count: number;
  /** Listener that the crowd connects to; default: that for callers. */
  listener?: string;
}

function headWith(...headers: string[]): string {
  return [
    "POST /v1/chat/completions HTTP/1.1",
    "host: a",
    `authorization: Bearer ${SAMPLE_CALLER_KEY}`,
    "content-type: application/json",
    ...headers,
    "",
    "",
  ].join("\r\n");
}

async function startDev(t: TestContext): Promise<DevFleet> {
  const child = Child.create({
    program: "cli/main",
    args: [
      "dev",
      ...["--http-address", LOOPBACK, "--admin-address", LOOPBACK],
      ...["--peer-address", LOOPBACK, "--store-address", LOOPBACK],
      ...["--agent-addresses", `${LOOPBACK},${LOOPBACK},${LOOPBACK}`],
    ],
    variables: {
      NODE_OPTIONS: `--max-old-space-size=${HEAP_MB}`,
      CICADAHITCH_MEMORY_MB: `${MEMORY_MB}`,
    },
  });
  t.after(() => child.close());
  const exit: DevFleet["exit"] = {};
  void child.exited.then(({ code, signal }) => {
    exit.text = `${signal ?? code}: ${child.log.slice(-500)}`;
  });
  const { listening } = await child.started<DevFleet>();
  const fleet = { child, listening, exit };
  await askOrdinary(fleet);
  return fleet;
}

async function askOrdinary({ listening, exit }: DevFleet): Promise<void> {
  const url = `http://${listening["http"]}/v1/chat/completions`;
  const headers = {
    authorization: `Bearer ${SAMPLE_CALLER_KEY}`,
    "content-type": "application/json",
    connection: "close",
  };
  await eventually(async () => {
    assert.equal(exit.text, undefined);
    const asked = await fetch(url, {
      method: "POST",
      headers,
      body: ORDINARY,
    }).catch(() => undefined);
    await asked?.body?.cancel();
    return asked?.status === 200;
  });
}

function assertWithinMemory({ child, exit }: DevFleet): void {
  assert.equal(exit.text, undefined);
  const peakMb = Math.round(child.peakBytes() / 1024 / 1024);
  assert.ok(peakMb <= MEMORY_MB, `${peakMb} MB`);
}

/** Checks that the process lives within its memory and serves beside the crowd and after it. */
async function assertDevSurvives(
  t: TestContext,
  { count, listener = "http", ...script }: DevCrowd,
): Promise<Crowd> {
  const fleet = await startDev(t);
  const [ipAddress = "", port] = fleet.listening[listener]!.split(":");
  const address = { ipAddress, clientPort: Number(port) };
  const crowd = await Crowd.create(count, address, script);
  t.after(() => crowd.close());
  assertWithinMemory(fleet);
  await askOrdinary(fleet);
  assertWithinMemory(fleet);
  const peakMb = Math.round(fleet.child.peakBytes() / 1024 / 1024);
  t.diagnostic(`${peakMb} MB at the most`);
  crowd.close();
  await askOrdinary(fleet);
  return crowd;
}

function* endlessly<T>(piece: T, count = Infinity): Iterable<T> {
  for (let i = 0; i < count; i++) yield piece;
}

// Guards against bodies that are kept until the timeout of the upload.
test("dev: crowd with bodies, all but a byte", async (t) => {
  await assertDevSurvives(t, {
    count: 100,
    pieces: () => [DECLARED_HEAD, FILLER.subarray(1)],
  });
});

// Guards against an object for each chunk.
test("dev: crowd with chunks of one byte without end", async (t) => {
  await assertDevSurvives(t, {
    count: 30,
    pieces: function* () {
      yield CHUNKED_HEAD;
      yield* endlessly("1\r\nx\r\n".repeat(1000), 100);
    },
  });
});

// Guards against bodies that are kept after they were refused.
test("dev: crowd with bodies far over the limit", async (t) => {
  await assertDevSurvives(t, {
    count: 60,
    pieces: function* () {
      yield CHUNKED_HEAD;
      yield* endlessly(chunkOf(16_384));
    },
  });
});

// Guards against as many parsed bodies in memory as there are requests.
test("dev: crowd with whole bodies at once", async (t) => {
  const body = JSON.stringify({
    model: SAMPLE_MODEL,
    messages: [{ role: "user", content: "x".repeat(MAX_BODY_BYTES - 200) }],
  });
  await assertDevSurvives(t, {
    count: 60,
    pieces: () => [headWith(`content-length: ${body.length}`), body],
  });
});

// Guards against reading all requests of a connection before the first one is answered.
test("dev: crowd with bodies one behind the other on each connection", async (t) => {
  const request = headWith("content-length: 65536") + "x".repeat(65_536);
  await assertDevSurvives(t, {
    count: 50,
    reads: false,
    pieces: () => endlessly(request, 200),
  });
});

for (const listener of ["http", "admin"]) {
  // Guards against heads that are kept for a minute.
  test(`dev: crowd with heads without their end, ${listener} listener`, async (t) => {
    const lines = "ab:cd\r\n".repeat(100);
    await assertDevSurvives(t, {
      count: 1500,
      listener,
      pieces: function* () {
        yield "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n";
        yield* endlessly(lines, 20);
      },
    });
  });
}

// Guards against bodies that are read before the key of the administration is checked.
test("dev: crowd with bodies for administration under no key", async (t) => {
  await assertDevSurvives(t, {
    count: 100,
    listener: "admin",
    pieces: function* () {
      yield "PUT /v1/teams/sample/branch HTTP/1.1\r\nhost: a\r\n" +
        "transfer-encoding: chunked\r\n\r\n";
      yield* endlessly(chunkOf(PIECE.length), 400);
    },
  });
});
