/** Ranks the processes that try to acquire a lease, so that the others make no calls for it. */
import { mixHash, textHash } from "../placement/rendezvous.ts";

/**
 * Ranks processes for a key by rendezvous hashing. Processes with slightly different member lists
 * compute nearly the same ranking; the lease, not the rank, decides which process acts.
 *
 * @param key Key of the resource that one process is to manage.
 * @param processIds Ids of the processes that are known to be alive.
 * @returns The ids, highest rank first.
 */
export function rankProcesses(key: string, processIds: string[]): string[] {
  const keyHash = textHash(key);
  const scores = new Map(
    processIds.map((id) => [id, mixHash(textHash(id), keyHash)]),
  );
  return [...scores.keys()].sort((a, b) =>
    scores.get(b)! - scores.get(a)! || (a < b ? -1 : 1)
  );
}
