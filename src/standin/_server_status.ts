/** What a stand-in backend server tells of itself. */

/** State of a server. */
export interface ServerStatus {
  address: string;
  softwareVersion: string | undefined;
  /** The model that the server serves; undefined for a plain service. */
  model: string | undefined;
  /** Version of the weights that are loaded. */
  version: number;
  busy: boolean;
  sequence: number;
  bornAtMs: number;
}

/**
 * @param status State of a server.
 * @param service Service that the server belongs to.
 * @returns The entry of a ready server in the platform's store.
 */
export function registrationOf(status: ServerStatus, service: string): object {
  return {
    service,
    address: status.address,
    zone: "a",
    version: status.softwareVersion ?? "v1",
    slots: 4,
    state: "ready",
    models: modelsOf(status),
    cold_left_ms: 0,
    sequence: status.sequence,
    born: status.bornAtMs,
  };
}

/**
 * @param status State of a server.
 * @returns The body of its report.
 */
export function reportOf(status: ServerStatus): object {
  return {
    stage: "colocated",
    models: modelsOf(status),
    busy: status.busy,
    sequence: status.sequence,
    born: status.bornAtMs,
    queued: 0,
    running: 0,
    kv_used: 0,
    kv_total: 1000,
    handles: 0,
  };
}

function modelsOf({ model, version }: ServerStatus): object[] {
  return model === undefined ? [] : [{ name: model, version, adapters: [] }];
}
