/** What must hold while a crowd of clients holds all that it can of an entry. */
import assert from "node:assert/strict";
import type { TestContext } from "node:test";
import {
  askOrdinary,
  INSTANCE_BYTES,
  type LimitedEntry,
  type LimitedEntryOptions,
  startEntry,
} from "./_entry.ts";
import { type ClientScript, Crowd } from "./_crowd.ts";

/** A crowd and the entry that it meets. */
export interface CrowdTest extends LimitedEntryOptions {
  count: number;
  script: ClientScript;
}

/**
 * Checks that the process lives, stays within the memory of its instance, and serves an ordinary
 * request while the crowd is connected and after it.
 *
 * @param t The test.
 * @param options The crowd, and the settings of the entry.
 * @returns The entry and the crowd, which is closed when the test ends.
 */
export async function assertSurvives(
  t: TestContext,
  { count, script, ...options }: CrowdTest,
): Promise<{ entry: LimitedEntry; crowd: Crowd }> {
  const entry = await startEntry(t, options);
  const crowd = await Crowd.create(count, entry.address, script);
  t.after(() => crowd.close());
  assertWithinInstance(entry);
  if (options.hasConfig !== false) await askOrdinary(entry);
  assertWithinInstance(entry);
  t.diagnostic(`${toMegabytes(entry.process.peakBytes)} MB at the most`);
  return { entry, crowd };
}

/**
 * Closes the crowd, and checks the entry once more.
 *
 * @param entry The entry.
 * @param crowd Its clients.
 */
export async function assertServesAfter(
  entry: LimitedEntry,
  crowd: Crowd,
): Promise<void> {
  crowd.close();
  await askOrdinary(entry);
  assertWithinInstance(entry);
}

/** @param entry An entry whose process must live, within the memory of its instance. */
export function assertWithinInstance({ process }: LimitedEntry): void {
  assert.equal(process.exit, undefined, process.output);
  const { peakBytes } = process;
  assert.ok(peakBytes <= INSTANCE_BYTES, `${toMegabytes(peakBytes)} MB`);
}

function toMegabytes(sizeBytes: number): number {
  return Math.round(sizeBytes / 1024 / 1024);
}
