import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "./clock.ts";
import { MAX_SERIES_PER_NAME, MetricKindError, Metrics } from "./metrics.ts";

const HELP = { help: "Test" };

function steppedClock(): Clock & { atMs: number } {
  return {
    atMs: 0,
    nowMs() {
      return this.atMs;
    },
    wallMs: () => 0,
    sleep: () => Promise.resolve(),
  };
}

test("renders counters and gauges with escaped labels", () => {
  const metrics = Metrics.create();
  metrics.counter("a_total", { help: "A", labels: { b: 'x"\\\n', a: "1" } })
    .add(2);
  metrics.gauge("g", HELP).setCallback(() => 7);
  assert.equal(
    metrics.render(),
    '# HELP a_total A\n# TYPE a_total counter\na_total{a="1",b="x\\"\\\\\\n"} 2\n' +
      "# HELP g Test\n# TYPE g gauge\ng 7\n",
  );
});

test("histogram quantiles have two significant digits", () => {
  const histogram = Metrics.create().histogram("h_ms", HELP);
  for (let ms = 1; ms <= 1000; ms++) histogram.record(ms);
  assert.ok(Math.abs(histogram.quantile(0.5) - 500) < 5);
  assert.ok(Math.abs(histogram.quantile(0.99) - 990) < 10);
  assert.equal(histogram.count, 1000);
  assert.equal(histogram.sum, 500_500);
});

test("histogram drops old windows but keeps its count", () => {
  const clock = steppedClock();
  const metrics = Metrics.create({ clock });
  const histogram = metrics.histogram("h_ms", HELP);
  histogram.record(100);
  clock.atMs = 61_000;
  histogram.record(1);
  assert.ok(histogram.quantile(1) >= 100);
  clock.atMs = 122_000;
  assert.ok(histogram.quantile(1) < 2);
  clock.atMs = 400_000;
  assert.ok(Number.isNaN(histogram.quantile(0.5)));
  assert.match(metrics.render(), /h_ms_count 2/);
});

test("histogram accepts invalid values", () => {
  const histogram = Metrics.create().histogram("h_ms", HELP);
  for (const value of [-1, Number.NaN, Infinity, 1e12]) histogram.record(value);
  assert.equal(histogram.count, 4);
  assert.ok(histogram.quantile(1) > 3_500_000);
});

test("the same name and labels return the same handle", () => {
  const metrics = Metrics.create();
  assert.equal(metrics.counter("a", HELP), metrics.counter("a", HELP));
  assert.throws(() => metrics.gauge("a", HELP), MetricKindError);
});

test("series beyond the limit share one series", () => {
  const metrics = Metrics.create();
  for (let i = 0; i < MAX_SERIES_PER_NAME + 50; i++) {
    metrics.counter("a", { help: "A", labels: { id: String(i) } }).add();
  }
  assert.match(metrics.render(), /a\{overflow="true"\} 50/);
});
