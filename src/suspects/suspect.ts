/** Types of suspects: requests, or parts of prompts, that probably terminate backend servers. */

/** The end (termination) of a server that was handling a request. */
export interface ServerEnd {
  /** Id and incarnation of the server. */
  server: string;
  /** Time for which the server had been answering; omitted if it had not begun to answer. */
  answeringMs?: number;
  /** When the server ended, by this process's monotonic clock. */
  atMs: number;
  /** Time since the request was sent to the server. */
  runMs: number;
}

/** A suspected request, or part of a prompt, and its server ends. */
export interface Suspect {
  /** Digest of the request, or id of the part. */
  digest: string;
  ends: readonly ServerEnd[];
}

/** Suspects with their server ends. */
export interface SuspectList {
  /**
   * @param minEnds Minimum number of server ends.
   * @returns Suspects with at least that many ends, those with the most ends first.
   */
  suspects(minEnds: number): Suspect[];
  /**
   * @param digest Digest of a suspect.
   * @returns Whether a successful answer is known that cleared it of all ends.
   */
  isCleared(digest: string): boolean;
}
