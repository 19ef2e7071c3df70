import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../lease/manual_clock.ts";
import { DemandMeter, type PlannedOrder } from "../planner/mod.ts";
import type { OrderReply } from "../wire/gen/cicadahitch.ts";
import { ChannelPool } from "../wire/mod.ts";
import { closeAtEnd } from "./_cleanup.ts";
import { FakeAgent } from "./_fake_agent.ts";
import { Members } from "./members.ts";
import { PoolAgents } from "./pool_agents.ts";

const POOL = "engines";
const MODEL = { model: "m", adapter: "", weightsVersion: "1" };
const never = new AbortController().signal;

async function open() {
  const clock = ManualClock.create();
  const agent = await FakeAgent.create("a0", () => {});
  const members = Members.create(clock);
  const channels = ChannelPool.create({ security: { kind: "plain" }, clock });
  closeAtEnd(() => channels.close());
  const { address } = agent;
  const instance = { id: "a0", role: "agent", zone: "a", address } as const;
  const show = (state: "live" | "gone", revision: number) =>
    members.apply({
      revision,
      full: true,
      instances: [{ ...instance, pool: POOL, state }],
    });
  show("live", 1);
  const agents = PoolAgents.create({
    pool: POOL,
    members,
    channels,
    demand: DemandMeter.create(clock),
    clock,
    orderTimeoutMs: 10_000,
  });
  return { agent, agents, clock, show };
}

function orderTo(address: string): PlannedOrder {
  const move = { kind: "load", serverId: "a0", address, model: MODEL } as const;
  return { move, leaseKey: "lease", fencingNumber: 5n };
}

test("last report of an unresponsive agent ages, and is removed with its server", async () => {
  const { agent, agents, clock, show } = await open();
  const first = await agents.readView(never);
  assert(first.isOk);
  assert.deepEqual(first.value.servers.map(({ ageMs }) => ageMs), [0]);
  agent.close();
  await clock.advance(4000);
  const second = await agents.readView(never);
  assert(second.isOk);
  assert.deepEqual(second.value.servers.map(({ ageMs }) => ageMs), [4000]);
  show("gone", 2);
  assert.equal((await agents.readView(never)).isErr, true);
});

const OUTCOMES: [reply: Partial<OrderReply>, kind: string][] = [
  [{ accepted: true }, "accepted"],
  [{ highestFencingNumber: 9n }, "fenced"],
  [{ highestFencingNumber: 5n }, "refused"],
  [{ retryAfterMs: 100 }, "rate_limited"],
];

test("agent's reply is mapped to the outcome of an order", async () => {
  const { agent, agents } = await open();
  for (const [reply, kind] of OUTCOMES) {
    agent.onOrder = () => reply;
    const outcome = await agents.sendOrder(orderTo(agent.address), never);
    assert.equal(outcome.kind, kind);
  }
  const { address } = agent;
  agent.close();
  const gone = await agents.sendOrder(orderTo(address), never);
  assert(gone.kind === "refused" || gone.kind === "unknown");
});
