// deno-lint-ignore-file no-explicit-any
/** Faults that a review found; each test failed on the code before it. */
import assert from "node:assert/strict";
import { systemClock } from "../base/mod.ts";
import { ask, NO_FAULTS } from "../standin/mod.ts";
import { silentLog, TestClock } from "./_kit.ts";
import {
  ASKED,
  askTaken,
  assertWhole,
  openPatientWorld,
  refuseFor,
  requestsOf,
  shutGate,
} from "./_patient_world.ts";
import { openWorld, until } from "./_world.ts";
import { Answering } from "./answering.ts";
import { startProgress } from "./attempt.ts";
import { OpenRuns } from "./open_runs.ts";
import { isSilent } from "./patience.ts";
import { AnswerReader } from "./read_answer.ts";
import { ResendBudget } from "./resend_budget.ts";
import { ResponseSink } from "./response_sink.ts";
import { RunMover } from "./run_mover.ts";
import { Wake } from "./wake.ts";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";

const LIMITS = { ratio: 0.2, slack: 100, windowMs: 10_000 };

function drain(budget: ResendBudget): number {
  let count = 0;
  while (budget.spendForBegun("engines")) count++;
  return count;
}

test("review A: other engine sends a head and nothing more, the paused one speaks again", async (t) => {
  for (const afterEvent of [0, 2]) {
    const world = await openPatientWorld(t, { maxAttempts: 2 });
    const pausing = await world.worker("i-1", {
      model: "m",
      faults: { ...NO_FAULTS, stall: { afterEvent, pauseMs: 3000 } },
    });
    const answer = askTaken(world, "/stream/a", {
      headers: { ...ASKED, "deadline-ms": "9000" },
    });
    await until(() => pausing.runs.length > 0);
    await world.worker("i-2", {
      model: "m",
      faults: {
        ...NO_FAULTS,
        stall: { afterEvent, pauseMs: GONE_MS, isBehindHead: true },
      },
    });
    const asked = await answer;
    assertWhole(
      asked,
      `${afterEvent} ${
        JSON.stringify([asked.status, asked.body, requestsOf(world.lines)])
      }`,
    );
    await world.router.stop();
  }
});

test("review B: refunds after the window", () => {
  const clock = new TestClock();
  const budget = ResendBudget.create({
    clock,
    limits: LIMITS,
    entryCount: () => 1,
  });
  clock.advance(LIMITS.windowMs);
  const atMs = clock.nowMs();
  assert.ok(budget.spend("engines", 2));
  clock.advance(2 * LIMITS.windowMs);
  const used = drain(budget);
  budget.refund("engines", 2, { atMs });
  assert.equal(drain(budget), 0, `${used} used`);
});

test("review B2: refunds of an older slot", () => {
  const clock = new TestClock();
  const budget = ResendBudget.create({
    clock,
    limits: LIMITS,
    entryCount: () => 1,
  });
  clock.advance(LIMITS.windowMs);
  const atMs = clock.nowMs();
  assert.ok(budget.spend("engines", 20));
  clock.advance(LIMITS.windowMs * 0.9);
  let used = drain(budget);
  budget.refund("engines", 20, { atMs });
  used += drain(budget);
  clock.advance(LIMITS.windowMs * 0.2);
  used += drain(budget);
  assert.ok(used <= 75, `${used} used`);
});

test("review C: engine that begins breaks off after others refused while it was silent", async (t) => {
  const world = await openPatientWorld(t, { maxAttempts: 3 });
  const first = await world.worker("i-1", {
    model: "m",
    faults: { ...NO_FAULTS, hang: 1 },
  });
  const answer = ask(world, "/stream/a", ASKED);
  await until(() => first.runs.length > 0);
  const other = await world.worker("i-2", {
    model: "m",
    faults: { ...NO_FAULTS, refuse: 3 },
  });
  await until(() => other.refused >= 3);
  await sleep(2500);
  await first.down();
  const asked = await answer;
  assertWhole(asked, JSON.stringify([asked.status, requestsOf(world.lines)]));
});

const GONE_MS = 60_000;

test("review E: engine gone, the only other one refuses for two seconds", async (t) => {
  const world = await openPatientWorld(t);
  const first = await world.worker("i-1", {
    model: "m",
    faults: { ...NO_FAULTS, stall: { afterEvent: 2, pauseMs: GONE_MS } },
  });
  const answer = askTaken(world, "/stream/a", {
    headers: { ...ASKED, "deadline-ms": "10000" },
  });
  await until(() => first.runs.length > 0);
  const other = await world.worker("i-2", {
    model: "m",
    faults: { ...NO_FAULTS, refuse: Infinity },
  });
  await until(() => other.refused > 0);
  refuseFor(other, 2000);
  const asked = await answer;
  assertWhole(
    asked,
    JSON.stringify([
      asked.status,
      asked.body,
      requestsOf(world.lines),
      other.refused,
    ]),
  );
});

test("review V: engine stops behind another answer; a free engine is there", async (t) => {
  const world = await openPatientWorld(t);
  const gate = shutGate();
  const faults = {
    ...NO_FAULTS,
    stall: { afterEvent: 0, pauseMs: 0, opened: gate.opened },
  };
  const first = await world.worker("i-1", { model: "m", faults });
  const x = askTaken(world, "/stream/x", {
    headers: { ...ASKED, "attempt-id": "x", "prompt-prefix": "cc:1000,dd:200" },
  });
  await until(() => first.runs.length === 1);
  faults.hang = 1;
  const y = askTaken(world, "/stream/y", {
    headers: { ...ASKED, "attempt-id": "y", "deadline-ms": "9000" },
  });
  await until(() => first.runs.length === 2);
  gate.open();
  await x;
  await world.engine("i-2");
  const asked = await y;
  assertWhole(asked, JSON.stringify([asked.status, requestsOf(world.lines)]));
});

test("review U: run breaks while the next look is far", async (t) => {
  const world = await openPatientWorld(t, { maxAttempts: 3 });
  const gate = shutGate();
  const first = await world.worker("i-1", {
    model: "m",
    faults: { ...NO_FAULTS, stall: { afterEvent: 2, pauseMs: GONE_MS } },
  });
  const answer = askTaken(world, "/stream/a", {
    headers: { ...ASKED, "deadline-ms": "10000" },
  });
  await until(() => first.runs.length > 0);
  const other = await world.worker("i-2", {
    model: "m",
    faults: { ...NO_FAULTS, refuse: 3 },
  });
  await until(() => other.refused === 3);
  await sleep(100);
  const brokeAt = Date.now();
  await first.down();
  await answer;
  const tookMs = Date.now() - brokeAt;
  gate.open();
  assert.ok(tookMs < 300, `${tookMs} ms`);
});

test("review F: engine registers while a stream waits", async (t) => {
  const world = await openPatientWorld(t, { maxAttempts: 3 });
  const first = await world.worker("i-1", {
    model: "m",
    faults: { ...NO_FAULTS, stall: { afterEvent: 2, pauseMs: GONE_MS } },
  });
  const answer = askTaken(world, "/stream/a", {
    headers: { ...ASKED, "deadline-ms": "10000" },
  });
  await until(() => first.runs.length > 0);
  await sleep(50);
  await first.down();
  await sleep(1650);
  await world.engine("i-2");
  const at = Date.now();
  await answer;
  const tookMs = Date.now() - at;
  assert.ok(tookMs < 350, `${tookMs} ms`);
});

test("review I: 500 beside a silent run", async (t) => {
  const world = await openWorld(t);
  const first = await world.worker("i-1", {
    faults: { ...NO_FAULTS, hang: 1 },
  });
  const answer = ask(world, "/look/a", { "deadline-ms": "4500" });
  await until(() => first.runs.length > 0);
  await world.worker("i-2", { faults: { ...NO_FAULTS, fail: 1 } });
  const at = Date.now();
  const asked = await answer;
  assert.equal(asked.status, 500, `${Date.now() - at} ms`);
});

function fakes(over: any = {}) {
  const sent: any[] = [];
  const counts = { runsAgain: 0, giveBack: 0 };
  const server = {
    id: "s",
    health: { isDown: false, failed() {}, unreachable() {} },
    heardAtMs: 0,
    order: { isQueued: () => false },
    cache: { forget() {} },
    learnOutput() {},
  };
  const steps: any[] = [];
  const progress = startProgress(undefined);
  const request = {
    route: { kind: "stream", resumable: true, maxAttempts: 3 },
    facts: { requestId: "r" },
    service: "e",
    answerByMs: systemClock.nowMs() + 5000,
  };
  const sink: any = {
    gone: false,
    written: [] as number[],
    onGone(l: any) {
      this.l = l;
    },
    go() {
      this.gone = true;
      this.l();
    },
    begin() {},
    write() {
      this.written.push(Date.now());
      return Promise.resolve();
    },
    end() {},
    send() {},
  };
  const parts: any = {
    clock: systemClock,
    log: silentLog,
    sender: {
      send(r: any, task: any) {
        progress.sends++;
        progress.arrivals++;
        const send = {
          request: r,
          ...task,
          exchange: { sent: true, abort() {} },
          ticket: { ended() {} },
          sentAtMs: systemClock.nowMs(),
          quietSinceMs: systemClock.nowMs(),
          isSuspected: false,
        };
        sent.push(send);
        return send;
      },
    },
    reader: {
      read(send: any) {
        const at = steps.findIndex((s) => s.send === sent.indexOf(send));
        if (at < 0) return undefined;
        const [s] = steps.splice(at, 1);
        send.answer ??= {
          head: { status: 200, headers: {} },
          facts: { status: 200 },
          body: { kind: "stream" },
        };
        return s.part;
      },
    },
    resends: {
      refusalOf: () => undefined,
      pay: () => ({ kind: "paid", atMs: 0 }),
      payReserved: () => ({ kind: "paid", atMs: 0 }),
      refundUnsent() {},
      mayReplace: () => false,
    },
    quarantine: {
      verdict: () => ({ kind: "clear" }),
      answered() {},
      broken() {},
    },
    quotas: {
      runsAgain() {
        counts.runsAgain++;
      },
      giveBack() {
        counts.giveBack++;
      },
    },
    wanted: { replacedForMs: () => 0, limits: {} },
    servers: {
      any: () => ({ server, expectedMs: 10 }),
      ready: () => undefined,
    },
    isWorthSending: () => true,
    onSilent() {},
    mover: {
      isDue: () => false,
      move: () => Promise.resolve({ kind: "not_moved" }),
      free() {},
    },
    ...over,
  };
  return {
    parts,
    task: { request, sink, progress } as any,
    sent,
    steps,
    sink,
    server,
    counts,
    progress,
  };
}
const events = {
  kind: "events",
  bytes: Buffer.from("id: 1\n\n"),
  lastEventId: "1",
};

test("review D: client goes while its run is copied", async () => {
  const f = fakes();
  f.steps.push({ send: 0, part: events });
  f.parts.mover = {
    isDue: (s: any) =>
      f.progress.begun && s.move === undefined && f.sent.length === 1,
    move: async () => {
      await sleep(300);
      f.sink.go();
      return {
        kind: "copied",
        choice: { server: f.server, expectedMs: 0, copy: {} },
      };
    },
    free() {},
  };
  await Answering.create(f.parts, f.task).run();
  assert.equal(f.sent.length, 1);
});

test("review W: event that came during the call to move is passed on at once", async () => {
  const f = fakes();
  f.steps.push({ send: 0, part: events });
  let cameAt = 0;
  f.parts.mover = {
    isDue: (s: any) => f.progress.begun && s.move === undefined,
    move: async () => {
      await sleep(50);
      f.steps.push({ send: 0, part: { ...events, lastEventId: "2" } }, {
        send: 0,
        part: { kind: "stream_end" },
      });
      cameAt = Date.now();
      return { kind: "not_moved" };
    },
    free() {},
  };
  await Answering.create(f.parts, f.task).run();
  const lateMs = f.sink.written[1] - cameAt;
  assert.ok(lateMs < 100, `${lateMs} ms`);
});

test("review J: a request that ran once is charged once", () => {
  const f = fakes();
  const open = OpenRuns.create(f.parts, f.task, { wake: Wake.create() });
  open.open({ server: f.server, expectedMs: 1 } as any, { kind: "free" });
  open.open({ server: f.server, expectedMs: 1 } as any, {
    kind: "paid",
    atMs: 0,
  });
  const [a, b] = open.all;
  open.over(a!, { kind: "not_run", reason: "refused_503" });
  b!.answer = { facts: { status: 200 } } as any;
  open.answered(b!);
  assert.equal(f.counts.runsAgain - f.counts.giveBack, 0);
});

test("review L: a run that has not begun is not moved", () => {
  const mover = RunMover.create(
    {
      clock: systemClock,
      log: silentLog,
      quarantine: { verdict: () => ({ kind: "clear" }) },
    } as any,
  );
  const send: any = {
    choice: { server: { isChanging: () => true } },
    request: {
      route: { kind: "stream", resumable: true },
      facts: { prompt: { outputTokens: 80 } },
      answerByMs: systemClock.nowMs() + 9000,
    },
    progress: { begun: true, lastEventId: "2" },
  };
  assert.equal(mover.isDue(send), false);
});

test("review P: a slow client's sink keeps no listeners of writes that are over", async () => {
  const response: any = Object.assign(new EventEmitter(), {
    write: () => false,
    writableFinished: false,
  });
  const sink = new ResponseSink(response, () => false);
  for (let i = 0; i < 20; i++) {
    const written = sink.write(Buffer.from("a"));
    response.emit("drain");
    await written;
  }
  assert.ok(
    response.listenerCount("close") < 5,
    `${response.listenerCount("close")}`,
  );
});

test("review N: a head that has just come ends the silence", () => {
  const nowMs = systemClock.nowMs();
  const server: any = {
    heard() {},
    health: { answered() {}, slowness: () => 1, failed() {} },
    order: { began() {}, isQueued: () => false },
    learnWeights() {},
  };
  const send: any = {
    request: {
      route: { kind: "stream", resumable: true },
      facts: { requestId: "r" },
      arrivedAtMs: nowMs - 1300,
      answerByMs: nowMs + 9000,
    },
    choice: { server, expectedMs: 50 },
    progress: {},
    sentAtMs: nowMs - 1300,
    quietSinceMs: nowMs - 1300,
    ticket: { started() {} },
    exchange: {
      take: () => ({
        kind: "head",
        head: {
          status: 200,
          headers: {
            "server-seal": "s",
            "attempt-id": "r",
            "transfer-encoding": "chunked",
          },
        },
      }),
    },
  };
  assert.equal(isSilent(send, nowMs), false);
  const part = AnswerReader.create({ clock: systemClock } as any).read(send);
  assert.equal(part?.kind, "began");
  assert.equal(isSilent(send, systemClock.nowMs()), false);
});
