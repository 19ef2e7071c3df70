/** Measures CPU time and heap size as functions of a count. */
import {
  fitSlope,
  type Point,
  type Slope,
  type SlopeDescription,
} from "./slopes.ts";

const RUNS = 5;

/** A measurement that is repeated for several counts. */
export interface Series extends SlopeDescription {
  counts: number[];
}

/**
 * Measures how CPU time, in µs, grows with the count.
 *
 * @param series Description and counts; each run measures every count once.
 * @param prepare Sets up the work for a count, outside the measured time, and returns the work.
 * @returns The slope of CPU time over the count.
 */
export async function measureCpuSlope(
  series: Series,
  prepare: (count: number) => () => unknown,
): Promise<Slope> {
  const { counts, ...description } = series;
  const runs: Point[][] = [];
  for (let run = 0; run <= RUNS; run++) {
    const points: Point[] = [];
    for (const count of counts) {
      const work = prepare(count);
      const before = processorUs();
      await work();
      points.push({ x: count, y: processorUs() - before });
    }
    // The first run only warms up the JIT compiler.
    if (run > 0) runs.push(points);
  }
  return fitSlope(description, runs);
}

/**
 * Measures how the heap retained by `allocate(count)`, in bytes, grows with the count.
 *
 * @param series Description and counts.
 * @param allocate Returns the object whose heap size is measured.
 * @returns The slope of heap size over the count.
 */
export function measureHeapSlope(
  series: Series,
  allocate: (count: number) => unknown,
): Slope {
  const { counts, ...description } = series;
  const runs: Point[][] = [];
  for (let run = 0; run < RUNS; run++) {
    const points = counts.map((count): Point => {
      const before = heapBytes();
      const allocated = allocate(count);
      const y = heapBytes() - before;
      keepAlive(allocated);
      return { x: count, y };
    });
    runs.push(points);
  }
  return fitSlope(description, runs);
}

/** @returns CPU time that this process has used since its start, in µs. */
export function processorUs(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

/** @returns Heap and external buffers in use after garbage collection, in bytes. */
export function heapBytes(): number {
  if (!globalThis.gc) throw new ReferenceError("Run node with --expose-gc");
  globalThis.gc();
  globalThis.gc();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

let retained: unknown;

/** Keeps `value` reachable up to this call, so that the garbage collector counts it as in use. */
function keepAlive(value: unknown): void {
  retained = value;
  if (retained === undefined) throw new TypeError("Expected a value");
  retained = undefined;
}
