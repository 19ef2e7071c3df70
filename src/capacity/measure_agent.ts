/**
 * Measures the CPU time and memory of an agent, which runs in a process apart from its engine.
 * Prints slopes as JSON: `node dist/capacity/measure_agent.js [SECONDS]`, with the seconds of each
 * measurement (default 60).
 */
import { setTimeout as delay } from "node:timers/promises";
import { credentials } from "@grpc/grpc-js";
import { SAMPLE_MODEL } from "../cli/sample_team.ts";
import { Child } from "../e2e/_child.ts";
import { Fleet } from "../e2e/_fleet.ts";
import {
  AgentClient,
  AskRequest,
  Priority,
  type StartRun,
} from "../wire/gen/cicadahitch.ts";
import { EventEngine, TEAM, WORKSPACE } from "./_event_engine.ts";
import { fitSlope, type Point, type Slope } from "./slopes.ts";

const COMMAND = "node dist/capacity/measure_agent.js";
const REQUEST_RATES = [0, 1, 2, 5];
const EVENT_RATES = [0, 50, 92, 200];
const SETTLE_MS = 8000;
const MAX_TOKENS = 64;
const WINDOW_PIECES = 64;
/** Pieces between two acknowledgements: a quarter of the window, as in an entry. */
const ACK_EVERY = WINDOW_PIECES / 4;
const US_PER_SECOND = 1e6;
const seconds = Number(process.argv[2] ?? 60);

/** Number of runs started so far; makes each run id unique. */
let runCount = 0;

const resident = await residentSlope();
const processor = await Promise.all([requestSlope(), eventSlope()]);
console.log(JSON.stringify([...processor, resident], null, 2));

async function requestSlope(): Promise<Slope> {
  const engine = Child.create({ program: "standin/main", args: ["engine"] });
  const { listening } = await engine.started<{ listening: string }>();
  const points = await measureRates(`http://${listening}`, {
    rates: REQUEST_RATES,
    start: (rate, address) => startCallsAtRate(rate, address),
  });
  await engine.close();
  return fitSlope({
    name: "agent_request_us",
    what: "Processor time of an agent in a second, by requests of 64 tokens",
    unit: "us a second",
    per: "request a second",
    command: COMMAND,
  }, [points]);
}

async function eventSlope(): Promise<Slope> {
  const engine = await EventEngine.create();
  const points = await measureRates(engine.url, {
    rates: EVENT_RATES,
    start: (rate, address) => {
      sendAsk(address);
      return engine.publishAtRate(rate);
    },
  });
  engine.close();
  return fitSlope({
    name: "agent_event_us",
    what: "Processor time of an agent in a second, by cache events",
    unit: "us a second",
    per: "event a second",
    command: COMMAND,
  }, [points]);
}

/**
 * The points are not on a line: `x` is the kind of process (0 bare Node, 1 agent, 2 entry).
 */
async function residentSlope(): Promise<Slope> {
  const fleet = await Fleet.create({ engines: 1 });
  const entry = await fleet.startEntry();
  const bare = Child.create({ program: "capacity/_idle", args: [] });
  await bare.started();
  await delay(SETTLE_MS);
  const agent = fleet.slots[0]!.agent;
  const points = [bare, agent, entry.child].map((child, x): Point => ({
    x,
    y: child.residentBytes(),
  }));
  await bare.close();
  await fleet.close();
  return fitSlope({
    name: "process_resident_bytes",
    what: "Resident memory: 0 a bare Node process, 1 an idle agent, 2 an entry",
    unit: "bytes",
    per: "kind of process",
    command: COMMAND,
  }, [points]);
}

interface RateSeries {
  rates: number[];
  /** Starts the load and returns a function that stops it. */
  start: (rate: number, agentAddress: string) => () => void;
}

async function measureRates(
  engineUrl: string,
  { rates, start }: RateSeries,
): Promise<Point[]> {
  const agent = startAgent(engineUrl);
  const { listening } = await agent.started<{ listening: { agent: string } }>();
  const points: Point[] = [];
  for (const rate of rates) {
    const stop = start(rate, listening.agent);
    await delay(SETTLE_MS);
    const before = agent.cpuSeconds();
    const startMs = performance.now();
    await delay(seconds * 1000);
    const elapsedSeconds = (performance.now() - startMs) / 1000;
    const cpuSeconds = agent.cpuSeconds() - before;
    points.push({
      x: rate,
      y: Math.round(cpuSeconds / elapsedSeconds * US_PER_SECOND),
    });
    stop();
  }
  await agent.close();
  return points;
}

function startAgent(engineUrl: string): Child {
  const place = ["--instance-id", "agent-1", "--zone", "a", "--pool", "p"];
  const addresses = ["--listen-address", "127.0.0.1:0", "--engine-url"];
  const args = ["agent", ...place, ...addresses, engineUrl];
  return Child.create({ program: "cli/main", args });
}

function startCallsAtRate(rate: number, address: string): () => void {
  if (rate === 0) return () => {};
  const client = new AgentClient(address, credentials.createInsecure());
  const timer = setInterval(() => startCall(client), 1000 / rate);
  return () => {
    clearInterval(timer);
    client.close();
  };
}

function startCall(client: AgentClient): void {
  const stream = client.run();
  let ackedSeq = 0;
  stream.on("error", () => {});
  stream.on("data", ({ step }) => {
    if (step?.$case === "refusal") throw new Error(step.value.message);
    if (step?.$case === "end") stream.end();
    if (step?.$case !== "pieces") return;
    const nextSeq = step.value.firstSeq + step.value.data.length;
    if (nextSeq - ackedSeq < ACK_EVERY) return;
    ackedSeq = nextSeq;
    stream.write({ step: { $case: "ack", value: { nextSeq } } });
  });
  stream.write({ step: { $case: "start", value: sampleStartRun() } });
}

/** Sends one `Ask`, so that the agent knows the team and workspace that own the events' blocks. */
function sendAsk(address: string): void {
  const client = new AgentClient(address, credentials.createInsecure());
  client.ask(sampleStartRun().ask!, () => client.close());
}

function sampleStartRun(): StartRun {
  const runNumber = ++runCount;
  const content = `Request ${runNumber} ${"coat ".repeat(300)}`;
  const messages = [{ role: "user", content }];
  const body = { model: SAMPLE_MODEL, messages, max_tokens: MAX_TOKENS };
  return {
    ask: AskRequest.fromPartial({
      runId: `run-${runNumber}`,
      team: TEAM,
      workspace: WORKSPACE,
      model: SAMPLE_MODEL,
      promptTokens: 400,
      maxTokens: MAX_TOKENS,
      priority: Priority.NORMAL,
      issuedWallMs: BigInt(Date.now()),
    }),
    holdId: "",
    attempt: 1,
    nextSeq: 0,
    attachOnly: false,
    call: {
      $case: "modelCall",
      value: { body: Buffer.from(JSON.stringify(body)), api: "chat" },
    },
    windowPieces: WINDOW_PIECES,
  };
}
