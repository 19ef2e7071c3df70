/** Why the router gave up a request, as log lines say it; other reasons are those of its last send. */
export const RefusalReason = {
  /** No server of the service is available. */
  noServer: "no_server",
  /** The client takes up a stream, and which software version began it is unknown. */
  versionUnknown: "version_unknown",
  /** No server has the software version that began the stream. */
  versionGone: "version_gone",
  /** By the work ahead of it and its own, its answer would miss its deadline. */
  tooLate: "too_late",
  /** Several servers terminated while they ran the request. */
  quarantined: "quarantined",
  /** Several servers terminated while they ran requests that share a part of its prompt. */
  partQuarantined: "part_quarantined",
  /** All servers of the service have asked for a pause. */
  paused: "paused",
  /** All servers of the service have reached the rate of requests that they take. */
  overRate: "over_rate",
  /** The entry is shutting down, and the response would end after its grace time. */
  shutdown: "shutdown",
  /** Its service has no room to serve it in time. */
  noRoom: "no_room",
  /** It waited for room of its service, and can't be served in time any more. */
  waited: "waited",
  /** The workspace has exceeded its quota. */
  overQuota: "over_quota",
} as const;

/** One of {@link RefusalReason}. */
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason];
