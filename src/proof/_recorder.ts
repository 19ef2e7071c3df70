/** Proxy between entries and an agent that records the calls as text. */
import { credentials } from "@grpc/grpc-js";
import {
  AgentClient,
  type AgentServer,
  AgentService,
  type AskRequest,
  type Refusal,
  RefusalCode,
  type RunDown,
  RunOutcome,
  type RunUp,
  type StartRun,
} from "../wire/gen/cicadahitch.ts";
import { GrpcListener } from "../wire/mod.ts";

/** Lines that describe one call and its replies. */
export type Transcript = string[];

/** Proxy that records the calls to one agent. */
export class Recorder {
  readonly #name: string;
  readonly #transcripts: Transcript[];
  readonly #client: AgentClient;
  readonly #listener = GrpcListener.create("127.0.0.1:0", { kind: "plain" });

  private constructor(name: string, target: string, into: Transcript[]) {
    this.#name = name;
    this.#transcripts = into;
    this.#client = new AgentClient(target, credentials.createInsecure());
  }

  /**
   * @param name Name of the agent in transcripts.
   * @param target Address of the agent.
   * @param options `into` receives the transcripts, in the order in which calls begin.
   * @returns A recorder that listens.
   */
  static async create(
    name: string,
    target: string,
    { into }: { into: Transcript[] },
  ): Promise<Recorder> {
    const recorder = new Recorder(name, target, into);
    recorder.#listener.addService(AgentService, recorder.#handlers());
    await recorder.#listener.start();
    return recorder;
  }

  /** `ip:port` of the listener. */
  get address(): string {
    return this.#listener.address;
  }

  close(): void {
    this.#listener.close();
    this.#client.close();
  }

  #begin(line: string): Transcript {
    const transcript = [`${this.#name} ${line}`];
    this.#transcripts.push(transcript);
    return transcript;
  }

  #handlers(): AgentServer {
    const client = this.#client;
    return {
      ask: ({ request }, reply) => {
        const transcript = this.#begin(`Ask ${formatAsk(request)}`);
        client.ask(request, (error, answer) => {
          if (answer?.verdict?.$case === "offer") {
            const { matchedTokens, recomputeTokens } = answer.verdict.value;
            transcript.push(
              `  <- offer matched=${matchedTokens} recompute=${recomputeTokens}`,
            );
          } else if (answer?.verdict) {
            transcript.push(`  <- ${formatRefusal(answer.verdict.value)}`);
          }
          reply(error, answer);
        });
      },
      run: (call) => {
        const up = client.run();
        const transcript = this.#begin("Run");
        const downRecorder = new RunDownRecorder(transcript);
        call.on("data", (message: RunUp) => {
          if (message.step?.$case === "start") {
            transcript.push(`  -> ${formatStart(message.step.value)}`);
          }
          up.write(message);
        });
        call.on("end", () => up.end());
        call.on("cancelled", () => up.cancel());
        up.on("data", (message: RunDown) => {
          downRecorder.record(message);
          call.write(message);
        });
        up.on("error", () => call.end());
        up.on("end", () => call.end());
      },
      cancel: ({ request }, reply) => {
        const transcript = this.#begin(`Cancel ${request.runId}`);
        client.cancel(request, (error, answer) => {
          transcript.push(`  <- notRun=${answer?.notRun}`);
          reply(error, answer);
        });
      },
      pushBranches: ({ request }, reply) => {
        const versions = request.branches.map(({ team, revision }) =>
          `${team}@${revision}`
        );
        this.#begin(`PushBranches ${versions.join(" ")}`);
        client.pushBranches(request, reply);
      },
      fetchBranches: ({ request }, reply) =>
        client.fetchBranches(request, reply),
      order: ({ request }, reply) => client.order(request, reply),
      reportModels: ({ request }, reply) => client.reportModels(request, reply),
      dumpState: ({ request }, reply) => client.dumpState(request, reply),
    };
  }
}

/**
 * Records the messages that an agent sends on a Run call. Consecutive pieces become one line, however
 * they are divided into messages.
 */
class RunDownRecorder {
  readonly #transcript: Transcript;
  #pieces: { line: number; first: number } | undefined;

  constructor(transcript: Transcript) {
    this.#transcript = transcript;
  }

  record({ step }: RunDown): void {
    if (step?.$case !== "pieces") this.#pieces = undefined;
    switch (step?.$case) {
      case "started": {
        const { attempt, repeated } = step.value;
        return this.#add(`started attempt=${attempt} repeated=${repeated}`);
      }
      case "pieces": {
        const { firstSeq, data } = step.value;
        this.#pieces ??= { line: this.#transcript.length, first: firstSeq };
        const { line, first } = this.#pieces;
        this.#transcript[line] = `  <- pieces ${first}..${
          firstSeq + data.length - 1
        }`;
        return;
      }
      case "head":
        return this.#add(`head status=${step.value.status}`);
      case "end": {
        const { outcome, pieceCount, completionTokens } = step.value;
        const name = nameOf(RunOutcome, outcome);
        return this.#add(
          `end ${name} pieces=${pieceCount} tokens=${completionTokens}`,
        );
      }
      case "refusal":
        return this.#add(formatRefusal(step.value));
    }
  }

  #add(line: string): void {
    this.#transcript.push(`  <- ${line}`);
  }
}

function formatAsk(ask: AskRequest): string {
  const { runId, team, workspace, model, weightsVersion, chain } = ask;
  const target = `${team}/${workspace} ${model}@${weightsVersion}`;
  return `${runId} ${target} points=${chain.length} config=${ask.configVersion}`;
}

function formatStart(start: StartRun): string {
  const { ask, attempt, nextSeq, attachOnly, call } = start;
  const kind = call?.$case ?? "none";
  const mode = attachOnly ? "attach" : "start";
  const hold = start.holdId === "" ? "no hold" : "held";
  const once = call?.$case === "plainCall" && call.value.atMostOnce
    ? " at most once"
    : "";
  return `${mode} ${ask?.runId} attempt=${attempt} next=${nextSeq} ${kind}${once} ${hold}`;
}

function formatRefusal({ code, message }: Refusal): string {
  return `refusal ${nameOf(RefusalCode, code)}: ${message}`;
}

function nameOf(names: Record<string, number>, value: number): string {
  return Object.keys(names).find((name) => names[name] === value) ?? "?";
}
