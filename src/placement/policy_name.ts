/** Names of the placement policies; all but `offers` are baselines. */
export const PolicyName = {
  /** Selects candidates by nested prefix levels, then compares their offers. */
  Offers: "offers",
  Random: "random",
  LeastLoaded: "least-loaded",
  /** Rendezvous hashing by the key of the first prefix level. */
  Rendezvous: "rendezvous",
  /** The server that last took the longest known prefix, without an offer. */
  Affinity: "affinity",
} as const;

/** One of {@link PolicyName}. */
export type PolicyName = (typeof PolicyName)[keyof typeof PolicyName];
