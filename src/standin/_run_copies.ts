/** Copies of moved runs at the stand-ins for backend servers. */

/** Addresses of the servers that hold copies, by source address and copy id. */
const holders = new Map<string, string>();

/** Place of a copy. */
export interface CopyPlace {
  /** Address of the server that ran the request. */
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
 * @param copy Source address and copy id.
 * @param address Address of a server.
 * @returns Whether the server holds the copy.
 */
export function isCopyAt(copy: string, address: string): boolean {
  return holders.get(copy) === address;
}

/** @param address Server that restarts: the copies that it holds, or that were made of its runs, end. */
export function deleteCopiesOf(address: string): void {
  for (const [copy, holder] of holders) {
    const isHere = holder === address || copy.startsWith(`${address}/`);
    if (isHere) holders.delete(copy);
  }
}
