/** Builds the state dump of an agent for operators, without prompts, answers and keys. */
import type { Clock } from "../base/mod.ts";
import type { BranchSet } from "../config/branch_set.ts";
import type { ClaimsJournal } from "../journal/mod.ts";
import type { FencingGate } from "../lease/mod.ts";
import type { AgentCore, ServerHandler } from "./agent_core.ts";
import type { Run } from "./run.ts";
import type { RunTable } from "./run_table.ts";

/** Parts of the agent that the state dump describes. */
export interface StateDumpOptions {
  instanceId: string;
  zone: string;
  pool: string;
  address: string;
  agentIncarnation: string;
  core: AgentCore;
  server: ServerHandler;
  runs: RunTable;
  branches: BranchSet;
  gate: FencingGate;
  journal: ClaimsJournal | undefined;
  clock: Clock;
}

const MAX_RUNS_SHOWN = 200;

/**
 * @param options Parts of the agent.
 * @returns The state, ready for `JSON.stringify`.
 */
export function buildStateDump(options: StateDumpOptions) {
  const { core, runs, clock } = options;
  const nowMs = clock.nowMs();
  return {
    role: "agent",
    instanceId: options.instanceId,
    zone: options.zone,
    pool: options.pool,
    address: options.address,
    agentIncarnation: options.agentIncarnation,
    isLeaving: core.isLeaving,
    server: describeServer(options.server),
    runs: {
      ...runs.sizes,
      attached: core.attachedCount,
      shown: [...runs.live].slice(0, MAX_RUNS_SHOWN)
        .map((run) => describeRun(run, nowMs)),
    },
    refusals: { counts: core.refusals.counts, recent: core.refusals.recent },
    fencingNumbers: options.gate.highestNumbers,
    journal: options.journal?.state(),
    branches: options.branches.versions().map(({ team, revision }) => ({
      team,
      revision: Number(revision),
    })),
  };
}

function describeServer(server: ServerHandler) {
  switch (server.kind) {
    case "engine": {
      const { admission, cache, costs, watch } = server.model;
      return {
        kind: server.kind,
        isUp: watch.isUp,
        engineIncarnation: watch.incarnation,
        models: watch.info?.models ?? [],
        running: admission.runningCount,
        waiting: admission.waitingCount,
        maxRunning: admission.maxRunning,
        holds: [...admission.holds.live()].map(({ runId }) => runId),
        cache: cache.summary,
        prefillMsPerToken: costs.prefillMsPerToken,
        decodeMsPerToken: costs.decodeMsPerToken,
      };
    }
    case "service":
      return {
        kind: server.kind,
        calls: server.plain.callCount,
        answers: server.plain.answers.sizes,
      };
  }
}

function describeRun(run: Run, nowMs: number) {
  return {
    runId: run.runId,
    attempt: run.attempt,
    team: run.ask.team,
    workspace: run.ask.workspace,
    model: run.ask.model,
    priority: run.ask.priority,
    state: run.state,
    ageMs: Math.round(nowMs - run.createdMs),
    leftMs: run.deadlineAtMs === Infinity
      ? undefined
      : Math.round(run.deadlineAtMs - nowMs),
    pieces: run.output.pieceCount,
    keptBytes: run.output.keptBytes,
    attached: run.attached,
  };
}
