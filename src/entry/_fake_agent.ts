/** A scripted agent for tests: a function of the test answers each connection of a run. */
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { createHash } from "node:crypto";
import {
  type AgentServer,
  AgentService,
  type AskReply,
  type AskRequest,
  type CancelReply,
  type CancelRequest,
  type OrderReply,
  type Refusal,
  type RefusalCode,
  type RunDown,
  type RunEnd,
  RunOutcome,
  type RunUp,
  type StartRun,
} from "../wire/gen/cicadahitch.ts";
import { encodeBranch } from "../config/mod.ts";
import { closeAtEnd } from "./_cleanup.ts";
import { GrpcListener } from "../wire/mod.ts";

/** One connection of a run, through which a {@link Script} answers. */
export interface FakeRun {
  start: StartRun;
  /** Sequence number after the last piece that the entry acknowledged. */
  ackedSeq: number;
  /** True once the entry has cancelled the connection. */
  isCancelled: boolean;
  send(step: RunDown["step"]): void;
  started(change?: { attempt?: number; agentIncarnation?: string }): void;
  pieces(firstSeq: number, texts: string[]): void;
  end(pieceCount: number, change?: Partial<RunEnd>): void;
  refuse(refusal: Partial<Refusal> & { code: RefusalCode }): void;
  /** Closes the connection without sending an end or a refusal. */
  cut(): void;
}

/** Answers one connection; `connection` counts the agent's connections from 0. */
export type Script = (run: FakeRun, connection: number) => void;

/** The team that {@link BRANCH} configures. */
export const TEAM = "acme";
/** A valid API key of {@link TEAM}. */
export const KEY = "acme.notes.secret";

const CLASSES = {
  desk: { priority: "urgent", deadlineMs: 20_000 },
};

/** Configuration branch of {@link TEAM}. */
export const BRANCH = {
  format: 1,
  models: { m: { pool: "engines", weightsVersion: "1" } },
  pools: {
    engines: { kind: "engine", fencing: "enforced" },
    booking: { kind: "service", fencing: "ignored" },
  },
  services: {
    booking: {
      pool: "booking",
      repeatable: [{ method: "GET", pathPrefix: "/slots" }],
    },
  },
  classes: CLASSES,
  workspaces: {
    notes: {
      defaultClass: "desk",
      keys: [{
        id: "k1",
        sha256: createHash("sha256").update(KEY).digest("hex"),
      }],
    },
  },
  limits: { maxBodyBytes: 4096, maxInFlight: 40, retryShare: 0.1 },
};

/** An agent that records the calls it gets and answers them as a test scripts. */
export class FakeAgent {
  readonly starts: StartRun[] = [];
  readonly cancels: CancelRequest[] = [];
  readonly asks: AskRequest[] = [];
  pushes = 0;
  incarnation: string;
  script: Script;
  onAsk: ((ask: AskRequest) => AskReply["verdict"]) | undefined;
  onOrder: (() => Partial<OrderReply>) | undefined;
  onCancel: ((request: CancelRequest) => Partial<CancelReply>) | undefined;
  readonly #id: string;
  readonly #pool: string;
  readonly #listener = GrpcListener.create("127.0.0.1:0", { kind: "plain" });

  private constructor(id: string, pool: string, script: Script) {
    this.#id = id;
    this.#pool = pool;
    this.incarnation = `${id}-1`;
    this.script = script;
  }

  /**
   * @param id Instance id.
   * @param script Answers each connection of a run.
   * @param options The pool that the agent belongs to.
   * @returns An agent that is listening.
   */
  static async create(
    id: string,
    script: Script,
    { pool = "engines" }: { pool?: string } = {},
  ): Promise<FakeAgent> {
    const agent = new FakeAgent(id, pool, script);
    agent.#listener.addService(AgentService, agent.#handlers());
    await agent.#listener.start();
    closeAtEnd(() => agent.close());
    return agent;
  }

  get address(): string {
    return this.#listener.address;
  }

  close(): void {
    this.#listener.close();
  }

  #handlers(): AgentServer {
    const json = Buffer.from(encodeBranch(BRANCH));
    const branches = [{ team: TEAM, revision: 7n, json }];
    const dump = {
      role: "agent",
      instanceId: this.#id,
      zone: "a",
      pool: this.#pool,
      address: this.address,
    };
    return {
      ask: ({ request }, reply) => {
        this.asks.push(request);
        reply(null, {
          verdict: this.onAsk?.(request) ?? OFFER,
          agentIncarnation: this.incarnation,
          configVersion: 7n,
        });
      },
      run: (call) => this.#run(call),
      cancel: ({ request }, reply) => {
        this.cancels.push(request);
        reply(null, {
          notRun: false,
          agentIncarnation: this.incarnation,
          ...this.onCancel?.(request),
        });
      },
      order: (_call, reply) =>
        reply(null, {
          accepted: false,
          message: "",
          highestFencingNumber: 0n,
          ...this.onOrder?.(),
        }),
      reportModels: (_call, reply) =>
        reply(null, { leaving: false, slots: 0, maxRunning: 0, replicas: [] }),
      fetchBranches: (_call, reply) => reply(null, { branches }),
      pushBranches: (_call, reply) => {
        this.pushes++;
        reply(null, {
          processId: "",
          address: "",
          versions: [],
          revision: 0n,
          confirmedAgeMs: 0,
          hash: 0n,
        });
      },
      dumpState: (_call, reply) => reply(null, { json: JSON.stringify(dump) }),
    };
  }

  #run(call: ServerDuplexStream<RunUp, RunDown>): void {
    call.on("error", () => {});
    let run: FakeRun | undefined;
    call.on("data", ({ step }: RunUp) => {
      if (step?.$case === "ack" && run) run.ackedSeq = step.value.nextSeq;
      if (step?.$case !== "start") return;
      run = this.#fakeRun(call, step.value);
      const connection = this.starts.push(step.value) - 1;
      this.script(run, connection);
    });
    call.on("end", () => call.end());
    call.on("cancelled", () => {
      if (run) run.isCancelled = true;
    });
  }

  #fakeRun(
    call: ServerDuplexStream<RunUp, RunDown>,
    start: StartRun,
  ): FakeRun {
    const send = (step: RunDown["step"]) => void call.write({ step });
    return {
      start,
      ackedSeq: start.nextSeq,
      isCancelled: false,
      send,
      started: (change = {}) =>
        send({
          $case: "started",
          value: {
            runId: start.ask?.runId ?? "",
            attempt: start.attempt,
            agentIncarnation: this.incarnation,
            engineIncarnation: "e",
            matchedTokens: 0,
            repeated: false,
            ...change,
          },
        }),
      pieces: (firstSeq, texts) => {
        const data = texts.map((text) => Buffer.from(text));
        send({ $case: "pieces", value: { firstSeq, data } });
      },
      end: (pieceCount, change = {}) =>
        send({
          $case: "end",
          value: {
            outcome: RunOutcome.DONE,
            pieceCount,
            message: "",
            promptTokens: 3,
            completionTokens: 2,
            cachedTokens: 1,
            ...change,
          },
        }),
      refuse: (refusal) =>
        send({
          $case: "refusal",
          value: { message: "", retryAfterMs: 0, tryAddress: "", ...refusal },
        }),
      cut: () => call.end(),
    };
  }
}

const OFFER: AskReply["verdict"] = {
  $case: "offer",
  value: {
    holdId: "h",
    matchedTokens: 0,
    recomputeTokens: 1,
    expectedTtftMs: 1,
    queueMs: 0,
    engineIncarnation: "e",
    weightsVersion: "1",
    running: 0,
    waiting: 0,
  },
};
