/** Copies of moved runs, and backups of runs, at the stand-ins for backend servers. */
import type { HostRequest } from "./_http_host.ts";

/** Addresses of the servers that hold copies, by source address and copy id. */
const holders = new Map<string, string>();

/** Place of a copy. */
export interface CopyPlace {
  /** Address of the server that ran the request, or of the one that holds its backup. */
  source: string;
  copyId: string;
}

/**
 * @param place Where the run was, and the id of its copy.
 * @param holder Address of the server that holds the copy.
 */
export function addCopy({ source, copyId }: CopyPlace, holder: string): void {
  holders.set(`${source}/${copyId}`, holder);
}

/**
 * @param place Where the run was, and the id of its copy.
 * @returns Whether the copy existed.
 */
export function deleteCopy({ source, copyId }: CopyPlace): boolean {
  return holders.delete(`${source}/${copyId}`);
}

/**
 * Backs up a run at the server that its request names, until its answer is complete. A lost run's backup
 * is kept.
 *
 * @param request The request of a new run.
 */
export function backUp({ headers, response }: HostRequest): void {
  const holder = headers["kv-backup"];
  if (typeof holder !== "string") return;
  const place = { source: holder, copyId: String(headers["attempt-id"]) };
  addCopy(place, holder);
  response.once("finish", () => deleteCopy(place));
}

/**
 * @param request A request.
 * @param address Address of the server that it was sent to.
 * @returns Whether the request needs no copy, or the server holds the copy: that of a moved run, or the
 *   backup of this very request.
 */
export function mayRunAt({ headers }: HostRequest, address: string): boolean {
  const copy = headers["kv-from"];
  if (copy === undefined) return true;
  if (holders.get(String(copy)) !== address) return false;
  const isBackup = String(copy).startsWith(`${address}/`);
  return !isBackup || copy === `${address}/${headers["attempt-id"]}`;
}

/** @param address Server that restarts: the copies that it holds, or that were made of its runs, end. */
export function deleteCopiesOf(address: string): void {
  for (const [copy, holder] of holders) {
    const isHere = holder === address || copy.startsWith(`${address}/`);
    if (isHere) holders.delete(copy);
  }
}
