/** Clients without the token that fill the memory of an agent. */
import assert from "node:assert/strict";
import { type ClientHttp2Session, connect as connectHttp2 } from "node:http2";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Child } from "../e2e/_child.ts";
import { Crowd } from "./_crowd.ts";

/** Memory of the instances beside backend servers. */
const INSTANCE_MB = 282;
const TOKEN = "token-of-the-agent-test-with-32-characters";
const PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + "\0\0\0\x04\0\0\0\0\0";
const MESSAGE_BYTES = 70 * 1024 * 1024;
const PIECE = Buffer.alloc(64 * 1024, "x");
const WRITE_MS = 3000;
const METHODS = ["Ask", "Run", "Attach", "Order"];

interface TestAgent {
  child: Child;
  address: string;
}

async function startAgent(t: TestContext): Promise<TestAgent> {
  const child = Child.create({
    program: "cli/main",
    args: [
      "agent",
      ...["--instance-id", "a-1", "--zone", "a", "--pool", "p"],
      ...["--engine-url", "http://127.0.0.1:1"],
      ...["--listen-address", "127.0.0.1:0"],
    ],
    variables: { CICADAHITCH_TOKEN: TOKEN },
  });
  t.after(() => child.close());
  const { listening } = await child.started<
    { listening: { agent: string } }
  >();
  const agent = { child, address: listening.agent };
  await askState(agent);
  return agent;
}

/** Asks for the agent's state as an operator does. */
async function askState({ address }: TestAgent): Promise<void> {
  const asked = Child.create({
    program: "cli/main",
    args: ["state", "--address", address],
    variables: { CICADAHITCH_TOKEN: TOKEN },
  });
  const { code } = await asked.exited;
  assert.equal(code, 0, asked.log);
}

async function assertLives(t: TestContext, agent: TestAgent): Promise<void> {
  await askState(agent);
  const peakMb = Math.round(agent.child.peakBytes() / 1024 / 1024);
  t.diagnostic(`${peakMb} MB at the most`);
  assert.ok(peakMb <= INSTANCE_MB, `${peakMb} MB`);
}

/** Sends messages, all but a byte, on streams of one connection. */
function sendMessages(session: ClientHttp2Session): void {
  for (const method of METHODS) {
    const stream = session.request({
      ":method": "POST",
      ":path": `/cicadahitch.Agent/${method}`,
      "content-type": "application/grpc",
      te: "trailers",
    });
    stream.on("error", () => {});
    const prefix = Buffer.alloc(5);
    prefix.writeUInt32BE(MESSAGE_BYTES, 1);
    stream.write(prefix);
    for (let size = PIECE.length; size < MESSAGE_BYTES; size += PIECE.length) {
      stream.write(PIECE);
    }
  }
}

// Guards against messages that are received before the token is checked.
test("agent: crowd with large messages under no token", async (t) => {
  const agent = await startAgent(t);
  for (let i = 0; i < 4; i++) {
    const session = connectHttp2(`http://${agent.address}`);
    session.on("error", () => {});
    t.after(() => session.destroy());
    sendMessages(session);
  }
  await sleep(WRITE_MS);
  await assertLives(t, agent);
});

const SILENT: Record<string, () => string[]> = {
  "that send nothing": () => [],
  "that send only the preface": () => [PREFACE],
  "whose bytes are no preface": () => ["GET / HTTP/1.1\r\nhost: a\r\n"],
};

for (const [name, pieces] of Object.entries(SILENT)) {
  // Guards against connections that stay open without a call, and their sessions.
  test(`agent: crowd of connections ${name}`, async (t) => {
    const agent = await startAgent(t);
    const [ipAddress = "", port] = agent.address.split(":");
    const address = { ipAddress, clientPort: Number(port) };
    const crowd = await Crowd.create(3000, address, { pieces });
    t.after(() => crowd.close());
    await assertLives(t, agent);
    crowd.close();
    await assertLives(t, agent);
  });
}
