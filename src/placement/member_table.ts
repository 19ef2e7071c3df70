/** The servers of a pool as table rows, the input of rendezvous hashing. */
import { textHash } from "./rendezvous.ts";

/** Properties of a backend server that placement uses. */
export interface Member {
  /** Stable id of the instance. */
  id: string;
  zone: string;
}

/** Immutable table of a pool's live servers. A membership change requires a new table. */
export class MemberTable<M extends Member> {
  readonly members: readonly M[];
  /** A hash of each member's id. */
  readonly idHashes: Uint32Array;
  readonly #rowById = new Map<string, number>();

  private constructor(members: readonly M[]) {
    this.members = members;
    this.idHashes = new Uint32Array(members.length);
    for (let row = 0; row < members.length; row++) {
      const { id } = members[row]!;
      this.idHashes[row] = textHash(id);
      this.#rowById.set(id, row);
    }
  }

  /**
   * @param members Live members of one pool, without those that are leaving.
   * @returns Their table.
   */
  static create<M extends Member>(members: readonly M[]): MemberTable<M> {
    return new MemberTable(members);
  }

  /** Number of members. */
  get size(): number {
    return this.members.length;
  }

  /**
   * @param id A member's id.
   * @returns Its row, or -1 if it isn't in the pool.
   */
  rowOf(id: string): number {
    return this.#rowById.get(id) ?? -1;
  }
}
