/** Simulated engines that prefill prompts in chunks, for the tests of learned rates. */
import { poisson, seededRandom } from "../base/random.ts";
import { ServiceRates } from "../service_rates/mod.ts";
import { registration, TestClock, testFleet, testPrompt } from "./_kit.ts";
import { ChoiceName, choose } from "./choose.ts";
import { PaceExchange } from "./pace_exchange.ts";
import { ownLoads, PeerLoads } from "./peer_loads.ts";

/** Rates of the first deployment of load scheduling. */
const TOKENS_PER_MS = 64.2;
const CHUNK_TOKENS = 1024;
const DECODE_STEP_MS = 4.23;
const MAX_RUNNING = 48;

/** A request at a {@link ChunkedEngine}. */
interface EngineRequest {
  /** Prompt tokens that are not cached. */
  promptTokens: number;
  outputTokens: number;
  /** Called at the first token. */
  onStarted(atMs: number): void;
  /** Called at the last token. */
  onEnded(): void;
}

/** Prefills one chunk of the oldest prompt between decode steps of all answers. */
class ChunkedEngine {
  readonly #waiting: EngineRequest[] = [];
  /** Requests whose prompt is prefilled, and those that are decoded, with the tokens left. */
  #prefilled: { request: EngineRequest; tokensLeft: number }[] = [];
  #decoded: { request: EngineRequest; tokensLeft: number }[] = [];
  #atMs: number;

  private constructor(atMs: number) {
    this.#atMs = atMs;
  }

  /**
   * @param nowMs Current time.
   * @returns An engine without requests.
   */
  static create(nowMs: number): ChunkedEngine {
    return new ChunkedEngine(nowMs);
  }

  /** @param request A request that has just arrived. */
  add(request: EngineRequest): void {
    this.#waiting.push(request);
  }

  /** @param untilMs Time up to which to start steps. */
  advance(untilMs: number): void {
    while (this.#atMs < untilMs) {
      this.#admit();
      if (this.#prefilled.length + this.#decoded.length === 0) {
        this.#atMs = untilMs;
        return;
      }
      this.#prefill();
      if (this.#decoded.length > 0) this.#decode();
    }
  }

  #admit(): void {
    const free = MAX_RUNNING - this.#prefilled.length - this.#decoded.length;
    for (const request of this.#waiting.splice(0, Math.max(0, free))) {
      this.#prefilled.push({ request, tokensLeft: request.promptTokens });
    }
  }

  #prefill(): void {
    const [first] = this.#prefilled;
    if (!first) return;
    const tokens = Math.min(CHUNK_TOKENS, first.tokensLeft);
    this.#atMs += tokens / TOKENS_PER_MS;
    first.tokensLeft -= tokens;
    if (first.tokensLeft > 0) return;
    this.#prefilled.shift();
    const { request } = first;
    this.#decoded.push({ request, tokensLeft: request.outputTokens });
  }

  #decode(): void {
    this.#atMs += DECODE_STEP_MS;
    for (const item of this.#decoded) {
      const { request } = item;
      if (item.tokensLeft === request.outputTokens) {
        request.onStarted(this.#atMs);
      }
      item.tokensLeft--;
      if (item.tokensLeft === 0) request.onEnded();
    }
    this.#decoded = this.#decoded.filter(({ tokensLeft }) => tokensLeft > 0);
  }
}

const SERVERS = 6;
const ENTRIES = 4;
const TICK_MS = 2;
const GOSSIP_INTERVAL_MS = 50;
/** Load of the first deployment at six of its 36 engines. */
const URGENT = { perMs: 161 / 36_000, meanTokens: 1800, outputTokens: 60 };
const LONG = { perMs: 34 / 36_000, meanTokens: 6610, outputTokens: 400 };
const MAX_PROMPT_TOKENS = 54_600;
/** Answers to an entry after which its expected times have to be right. */
const LEARNED_AFTER = 200;
const CHUNKED_END_MS = 60_000;

/**
 * Simulates entries that share engines which prefill in chunks.
 *
 * @param seed Seed of the random numbers.
 * @param load Load as a multiple of that of the first deployment.
 * @returns Expected by actual TTFT after {@link LEARNED_AFTER} answers to each entry, ascending.
 */
export function accuraciesAtChunkedEngines(
  seed: number,
  load: number,
): number[] {
  const random = seededRandom(seed);
  const clock = new TestClock();
  const startMs = clock.nowMs();
  const engines = new Map(
    Array.from(
      { length: SERVERS },
      (_, i) => [`i-${i}`, ChunkedEngine.create(startMs)],
    ),
  );
  const entries = Array.from({ length: ENTRIES }, (_, i) => {
    const fleet = testFleet(clock, { learnedRates: ServiceRates.create() });
    for (const id of engines.keys()) fleet.put(registration(id));
    const paces = PaceExchange.create({ clock, fleet });
    return {
      name: `e-${i}`,
      fleet,
      paces,
      loads: PeerLoads.create(fleet),
      answers: 0,
    };
  });
  const accuracies: number[] = [];
  const send = ({ meanTokens, outputTokens }: typeof URGENT) => {
    const entry = entries[Math.floor(random() * ENTRIES)]!;
    const { fleet } = entry;
    const sentAtMs = clock.nowMs();
    const tokens = Math.min(
      MAX_PROMPT_TOKENS,
      50 + Math.round(-meanTokens * Math.log(1 - random())),
    );
    const { server, uncachedTokens, load, expectedMs } = choose({
      servers: [...fleet.all()],
      zone: "a",
      nowMs: sentAtMs,
      tried: new Set(),
      loadAgeMs: GOSSIP_INTERVAL_MS,
      random,
      choice: ChoiceName.cost,
      prompt: testPrompt([{ id: `${random()}`, tokens }]),
    })!;
    const ticket = server.startRequest(uncachedTokens, false);
    const { pendingTokens: queuedTokens, running } = load!;
    const work = { queuedTokens, running, uncachedTokens };
    engines.get(server.id)!.add({
      promptTokens: uncachedTokens,
      outputTokens: Math.ceil(2 * outputTokens * random()),
      onStarted: (atMs) => {
        const ttftMs = atMs - sentAtMs;
        ticket.started();
        server.times.record({ ...work, ttftMs }, clock.nowMs());
        if (++entry.answers <= LEARNED_AFTER) return;
        accuracies.push(expectedMs / ttftMs);
      },
      onEnded: ticket.ended,
    });
  };
  for (let ageMs = 0; ageMs < CHUNKED_END_MS; ageMs += TICK_MS) {
    for (const kind of [URGENT, LONG]) {
      const mean = load * kind.perMs * SERVERS * TICK_MS;
      for (let n = poisson(mean, random); n > 0; n--) send(kind);
    }
    clock.advance(TICK_MS);
    for (const engine of engines.values()) engine.advance(clock.nowMs());
    if ((ageMs + TICK_MS) % GOSSIP_INTERVAL_MS !== 0) continue;
    for (const { name, fleet, paces } of entries) {
      const rows = paces.nextRows(ENTRIES) ?? [];
      const loads = ownLoads(fleet);
      for (const other of entries) {
        if (other.name === name) continue;
        other.loads.applyReport({ name, loads }, clock.nowMs());
        other.paces.applyRows(rows);
      }
    }
  }
  return accuracies.sort((a, b) => a - b);
}
