import assert from "node:assert/strict";
import { after, test } from "node:test";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import type { Instance } from "../backends/instance_list.ts";
import { StandinInstanceList } from "../standin/mod.ts";
import { BRANCH, FakeAgent } from "./_fake_agent.ts";
import { ABC, errorOf, send } from "./_fixture.ts";
import { Entry } from "./mod.ts";

const { maxInFlight } = BRANCH.limits;
const ENTRY_IDS = ["entry-1", "entry-2"];
const ROUND = 6;
const ROUND_MS = 100;
const HOUR_MS = "3600000";

const list = await StandinInstanceList.create();
const entries: Entry[] = [];
let open = () => {};
const gate = new Promise<void>((resolve) => open = resolve);
/** Runs in flight at the agent, and their highest number so far. */
let serving = 0;
let peak = 0;
let answered = 0;

const agent = await FakeAgent.create("a0", async (run) => {
  serving++;
  peak = Math.max(peak, serving);
  run.started();
  await gate;
  serving--;
  run.pieces(0, ABC);
  run.end(3);
});

after(async () => {
  open();
  for (const entry of entries) await entry.stop();
  await list.close();
});

test("two entries together enforce a team's limit", async () => {
  for (const id of ENTRY_IDS) entries.push(await startListed(id));
  list.set([row("a0", "agent", agent.address, "engines")]);
  list.set(
    entries.map(({ peerAddress }, at) =>
      row(ENTRY_IDS[at]!, "entry", peerAddress)
    ),
  );
  await until(() =>
    entries.every((entry) =>
      entry.dumpState().instances.length === ENTRY_IDS.length + 1
    )
  );
  const answers: Promise<Response>[] = [];
  while (serving < maxInFlight) {
    for (let at = 0; at < ROUND; at++) {
      for (const entry of entries) answers.push(sendLong(entry));
    }
    // The next round starts only when each of these is served or refused, however long that takes.
    await until(() => serving + answered >= answers.length);
    await systemClock.sleep(ROUND_MS);
  }
  const late = await Promise.all(
    Array.from({ length: maxInFlight }, (_, at) => sendLong(entries[at % 2]!)),
  );
  for (const answer of late) await checkRefusal(answer);
  assert.equal(peak, maxInFlight);
  open();
  const statuses = (await Promise.all(answers)).map(({ status }) => status);
  assert.equal(agent.starts.length, statuses.filter((s) => s === 200).length);
  assert(statuses.every((status) => status === 200 || status === 429));
  for (const entry of entries) {
    const [use] = entry.dumpState().limits.teams;
    assert.equal(use?.inFlight, 0);
  }
});

async function startListed(instanceId: string): Promise<Entry> {
  return await Entry.create({
    instanceId,
    zone: "a",
    httpAddress: "127.0.0.1:0",
    adminAddress: "",
    adminKeySha256: "",
    peerAddress: "127.0.0.1:0",
    storeAddress: "",
    instanceListUrl: list.url,
    seedAddresses: [agent.address],
    security: { kind: "plain" },
    policy: "offers",
    zoneRttMs: { a: 0 },
    drainMs: 5000,
    unreadyMs: 0,
    log: createSilentLogger(),
    clock: systemClock,
    tuning: { progressMs: 60_000, askTimeoutMs: 30_000 },
  });
}

function row(
  id: string,
  role: Instance["role"],
  address: string,
  pool = "",
): Instance {
  return { id, role, zone: "a", address, pool, state: "live" };
}

/** Sends a request whose deadline can't expire during the test. */
async function sendLong(entry: Entry): Promise<Response> {
  const headers = { "x-cicadahitch-deadline-ms": HOUR_MS };
  const answer = await send(entry, { headers });
  answered++;
  return answer;
}

async function checkRefusal(answer: Response): Promise<void> {
  assert.equal(answer.status, 429);
  assert(Number(answer.headers.get("retry-after")) > 0);
  const error = await errorOf(answer);
  assert.equal(error.code, "team_limit");
  assert.equal(error.execution, "not_run");
}

async function until(isDone: () => boolean): Promise<void> {
  while (!isDone()) await systemClock.sleep(5);
}
