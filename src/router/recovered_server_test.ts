import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../base/random.ts";
import { TestClock, testPrompt, testServer } from "./_kit.ts";
import { ChoiceName, choose } from "./choose.ts";

const SERVERS = 6;
/** High enough that the other servers are busier if one server gets no requests. */
const REQUESTS_PER_S = 120;
const SLOW_FOR_MS = 20_000;
const SLOW_FACTOR = 5;
/** Requests are counted from this time on. */
const COUNT_FROM_MS = 40_000;
const END_MS = 60_000;
const PROMPT_TOKENS = 1500;
const OUTPUT_MS = 400;

/** Queue of future events, ordered by time. */
class EventQueue {
  readonly #clock: TestClock;
  readonly #events: { atMs: number; act: () => void }[] = [];

  constructor(clock: TestClock) {
    this.#clock = clock;
  }

  after(ms: number, act: () => void): void {
    const atMs = this.#clock.nowMs() + ms;
    const events = this.#events;
    let i = events.length;
    while (i > 0 && events[i - 1]!.atMs < atMs) i--;
    events.splice(i, 0, { atMs, act });
  }

  run(): void {
    for (let next = this.#events.pop(); next; next = this.#events.pop()) {
      this.#clock.advance(next.atMs - this.#clock.nowMs());
      next.act();
    }
  }
}

/**
 * Simulates a load with one server that is slow at first.
 *
 * @param seed Seed of the random numbers.
 * @returns Share of the later requests that this server gets after it has recovered.
 */
function shareAfterRecovery(seed: number): number {
  const random = seededRandom(seed);
  const clock = new TestClock();
  const agenda = new EventQueue(clock);
  const startMs = clock.nowMs();
  const servers = Array.from(
    { length: SERVERS },
    (_, i) => testServer(`i-${i}`),
  );
  const counts = servers.map(() => 0);
  let requests = 0;
  const arrive = () => {
    const nowMs = clock.nowMs();
    const ageMs = nowMs - startMs;
    if (ageMs >= END_MS) return;
    agenda.after(-Math.log(1 - random()) * 1000 / REQUESTS_PER_S, arrive);
    const id = String(requests++);
    const { server, expectedMs, uncachedTokens } = choose({
      servers,
      zone: "a",
      nowMs,
      tried: new Set(),
      loadAgeMs: 50,
      random,
      choice: ChoiceName.cost,
      prompt: testPrompt([{ id, tokens: PROMPT_TOKENS }]),
    })!;
    const i = servers.indexOf(server);
    if (ageMs >= COUNT_FROM_MS) counts[i]!++;
    const isSlow = i === 0 && ageMs < SLOW_FOR_MS;
    // Servers are twice as fast as expected, so that the other servers' slowness favors them.
    const ratio = (isSlow ? SLOW_FACTOR : 0.5) * (0.8 + 0.4 * random());
    const tookMs = ratio * expectedMs / server.health.slowness(nowMs);
    const ticket = server.startRequest(uncachedTokens, false);
    agenda.after(tookMs, () => {
      ticket.started();
      server.health.answered(clock.nowMs(), ratio);
    });
    agenda.after(tookMs + OUTPUT_MS * random(), () => ticket.ended());
  };
  agenda.after(0, arrive);
  agenda.run();
  return counts[0]! / counts.reduce((sum, count) => sum + count, 0);
}

// A recovered server gets no requests while servers with lower slowness are idle. If that continued
// while they are busy, its capacity would be lost.
test("recovered server gets its share of the load", () => {
  for (const seed of [1, 2, 3]) {
    const share = shareAfterRecovery(seed);
    assert.ok(share > 0.5 / SERVERS, `seed ${seed}: ${share}`);
  }
});
