/** Shared helpers of the agent tests: an agent on loopback, and a client that reads runs. */
import { ChannelCredentials } from "@grpc/grpc-js";
import { afterEach } from "node:test";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import {
  AgentClient,
  type AskRequest,
  Priority,
  type RunDown,
  type RunUp,
  type StartRun,
} from "../wire/gen/cicadahitch.ts";
import { Agent } from "./agent.ts";
import type { AgentDependencies } from "./agent_dependencies.ts";
import type { AgentOptions } from "./options.ts";

const closeCallbacks: (() => Promise<void>)[] = [];
const openReaders = new Set<RunReader>();

/** Builds the settings of a test agent. */
export function testOptions(changes: Partial<AgentOptions> = {}): AgentOptions {
  return {
    instanceId: "agent-1",
    zone: "z1",
    pool: "p",
    listenAddress: "127.0.0.1:0",
    server: { kind: "engine", url: "" },
    storeAddress: "",
    seedAddresses: [],
    security: { kind: "plain" },
    drainMs: 5000,
    log: createSilentLogger(),
    clock: systemClock,
    ...changes,
  };
}

/** Starts an agent with a client; both are closed after the test at the latest. */
export async function openAgent(
  dependencies: Omit<AgentDependencies, "owned">,
  changes: Partial<AgentOptions> = {},
) {
  const agent = await Agent.create(testOptions(changes), {
    owned: [],
    ...dependencies,
  });
  const client = new AgentClient(
    agent.address,
    ChannelCredentials.createInsecure(),
  );
  const close = async () => {
    // An unread stream would keep its connection open.
    for (const reader of openReaders) reader.cut();
    openReaders.clear();
    client.close();
    await agent.kill();
  };
  closeCallbacks.push(close);
  return { agent, client, close };
}

afterEach(async () => {
  for (const close of closeCallbacks.splice(0)) await close();
});

/** Builds a minimal ask. */
export function testAsk(
  runId: string,
  changes: Partial<AskRequest> = {},
): AskRequest {
  return {
    runId,
    team: "t",
    workspace: "w",
    model: "m",
    adapter: "",
    weightsVersion: "",
    chain: [],
    promptTokens: 10,
    maxTokens: 10,
    priority: Priority.NORMAL,
    deadlineMs: 0,
    holdMs: 0,
    configVersion: 0n,
    issuedWallMs: BigInt(Date.now()),
    ...changes,
  };
}

/** Builds the start message of a model run. */
export function testStart(
  runId: string,
  changes: Partial<StartRun> = {},
): StartRun {
  const body = Buffer.from(JSON.stringify({ messages: [] }));
  return {
    ask: testAsk(runId),
    holdId: "",
    attempt: 1,
    nextSeq: 0,
    attachOnly: false,
    call: { $case: "modelCall", value: { body, api: "chat" } },
    windowPieces: 0,
    ...changes,
  };
}

/** Reads one run over one stream. */
export class RunReader {
  readonly #stream;
  readonly #messages: AsyncIterator<RunDown>;

  private constructor(client: AgentClient, start: StartRun) {
    this.#stream = client.run();
    this.#stream.on("error", () => {});
    this.#messages = this.#stream[Symbol.asyncIterator]();
    this.send({ step: { $case: "start", value: start } });
  }

  static open(client: AgentClient, start: StartRun): RunReader {
    const reader = new RunReader(client, start);
    openReaders.add(reader);
    return reader;
  }

  send(up: RunUp): void {
    this.#stream.write(up);
  }

  ack(nextSeq: number): void {
    this.send({ step: { $case: "ack", value: { nextSeq } } });
  }

  cut(): void {
    this.#stream.cancel();
  }

  finish(): void {
    this.#stream.end();
  }

  /** Returns the step of the next message, or undefined if the stream is closed. */
  async next(): Promise<RunDown["step"]> {
    const { value } = await this.#messages.next();
    return value?.step;
  }

  /**
   * Reads to the end and acknowledges all pieces. Returns a text for each step; that of a piece is
   * `#`, its number and its content.
   */
  async readAll(): Promise<string[]> {
    const received: string[] = [];
    for (;;) {
      const step = await this.next();
      if (!step) return [...received, "closed"];
      switch (step.$case) {
        case "pieces":
          step.value.data.forEach((data, index) =>
            received.push(`#${step.value.firstSeq + index} ${data}`)
          );
          this.ack(step.value.firstSeq + step.value.data.length);
          break;
        case "head":
          received.push(`head ${step.value.status}`);
          break;
        case "end":
          received.push(
            `end ${step.value.outcome} of ${step.value.pieceCount}`,
          );
          this.finish();
          return received;
        case "refusal":
          received.push(`refusal ${step.value.code}`);
          this.finish();
          return received;
        case "started":
          received.push(step.value.repeated ? "started again" : "started");
      }
    }
  }
}
