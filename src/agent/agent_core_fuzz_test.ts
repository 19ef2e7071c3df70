import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { createSilentLogger } from "../base/mod.ts";
import { BranchSet } from "../config/branch_set.ts";
import type { StartRun } from "../wire/gen/cicadahitch.ts";
import { AgentCore } from "./agent_core.ts";
import { FakeEngine } from "./_fake_engine.ts";
import { testAsk, testStart } from "./_test_kit.ts";
import { ModelServer } from "./model_server.ts";
import { RunTable } from "./run_table.ts";

const SEED = 20261202;
const START_WALL_MS = 1_000_000_000;

type Action =
  | { kind: "start"; isHeld: boolean }
  /** An earlier start message arrives again. */
  | { kind: "duplicate"; at: number }
  | { kind: "cancel"; at: number }
  | { kind: "attach"; at: number }
  | { kind: "end"; at: number }
  | { kind: "wait"; ms: number }
  | { kind: "engine"; isUp: boolean };

const at = fc.nat(3);
const action: fc.Arbitrary<Action> = fc.oneof(
  fc.record({ kind: fc.constant("start" as const), isHeld: fc.boolean() }),
  fc.record({ kind: fc.constant("duplicate" as const), at }),
  fc.record({ kind: fc.constant("cancel" as const), at }),
  fc.record({ kind: fc.constant("attach" as const), at }),
  fc.record({ kind: fc.constant("end" as const), at }),
  fc.record({
    kind: fc.constant("wait" as const),
    ms: fc.constantFrom(1, 1500, 20_000, 700_000),
  }),
  fc.record({ kind: fc.constant("engine" as const), isUp: fc.boolean() }),
);

const ACTIONS = fc.array(action, { minLength: 10, maxLength: 40, size: "max" });

/** An agent core with a manual clock, and a record of starts and of runs reported as not run. */
class CoreSimulation {
  readonly engine = FakeEngine.create();
  readonly starts: StartRun[] = [];
  readonly notRun = new Set<string>();
  nowMs = 0;
  readonly #runs: RunTable;
  readonly #model: ModelServer;
  readonly #core: AgentCore;

  constructor() {
    const log = createSilentLogger();
    const clock = {
      nowMs: () => this.nowMs,
      wallMs: () => START_WALL_MS + this.nowMs,
      sleep: () => Promise.resolve(),
    };
    const runs = RunTable.create({ clock, maxIds: 4 });
    this.#runs = runs;
    this.#model = ModelServer.create({
      engine: this.engine,
      clock,
      log,
      seed: "s",
      liveRuns: () => runs.live,
    });
    const branches = BranchSet.create();
    const options = { agentIncarnation: "a", branches, runs, clock, log };
    this.#core = AgentCore.create(options, {
      kind: "engine",
      model: this.#model,
    });
  }

  async apply(action: Action): Promise<void> {
    switch (action.kind) {
      case "start":
        this.#start(action.isHeld);
        break;
      case "duplicate":
        this.#open(this.starts[action.at]);
        break;
      case "attach": {
        const start = this.starts[action.at];
        if (start) this.#open({ ...start, attachOnly: true, call: undefined });
        break;
      }
      case "cancel":
        this.#cancel(this.starts[action.at]);
        break;
      case "end":
        this.engine.runs[action.at]?.end();
        break;
      case "wait":
        this.nowMs += action.ms;
        this.#runs.sweep();
        this.#model.admission.sweep();
        break;
      case "engine":
        this.engine.isUp = action.isUp;
    }
    await nextTurn();
    await this.#model.watch.poll();
    await nextTurn();
  }

  #start(isHeld: boolean): void {
    const runId = `r${this.starts.length}`;
    const issuedWallMs = BigInt(START_WALL_MS + this.nowMs);
    const ask = testAsk(runId, { issuedWallMs, holdMs: isHeld ? 1000 : 0 });
    const { verdict } = this.#core.ask(ask);
    const holdId = verdict?.$case === "offer" ? verdict.value.holdId : "";
    const start = testStart(runId, { ask, holdId });
    this.starts.push(start);
    this.#open(start);
  }

  #open(start: StartRun | undefined): void {
    if (!start) return;
    const opened = this.#core.open(start);
    if (opened.kind === "refused") this.notRun.add(start.ask!.runId);
    if (opened.kind === "attached") this.#core.detach(opened.attachment);
  }

  #cancel(start: StartRun | undefined): void {
    if (!start) return;
    const { runId, issuedWallMs } = start.ask!;
    const reply = this.#core.cancel({ runId, reason: "", issuedWallMs });
    if (reply.notRun) this.notRun.add(runId);
  }
}

test("no run id runs twice, and a run reported as not run never runs", async () => {
  await fc.assert(
    fc.asyncProperty(ACTIONS, async (actions) => {
      const simulation = new CoreSimulation();
      await simulation.apply({ kind: "wait", ms: 1 });
      const ranBefore = new Set<string>();
      for (const each of actions) {
        const notRun = new Set(simulation.notRun);
        const count = simulation.engine.runs.length;
        await simulation.apply(each);
        for (const { call } of simulation.engine.runs.slice(count)) {
          assert(!ranBefore.has(call.requestId), `${call.requestId} ran twice`);
          assert(!notRun.has(call.requestId), `${call.requestId} was not run`);
          ranBefore.add(call.requestId);
        }
      }
      for (const runId of simulation.notRun) {
        const ran = ranBefore.has(runId);
        assert(!ran, `${runId} ran, and was said not to have run`);
      }
    }),
    { seed: SEED, numRuns: 1000 },
  );
});
