/**
 * Closes the resources of a test file after its last test, so that a failed test that left some open
 * can't keep the process running.
 */
import { after } from "node:test";

const closers: (() => void | Promise<void>)[] = [];

after(async () => {
  for (const close of closers.reverse()) await close();
});

/** @param close Closes a resource; must be safe to call more than once. */
export function closeAtEnd(close: () => void | Promise<void>): void {
  closers.push(close);
}
