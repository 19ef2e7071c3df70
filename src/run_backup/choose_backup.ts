/** Chooses the engine to which the memory of a run is copied while it runs. */

/** State of an engine that may hold a backup. */
export interface BackupEngine {
  zone: string;
  /** It takes connections, and not so many are open that it resets further ones. */
  isAvailable: boolean;
  /** It gets no new requests for now. */
  isHeldBack: boolean;
  /** Its weights change soon, which would make the copy unusable. */
  isNextToChange: boolean;
  /** Its software can continue what the run's engine has written. */
  isCompatible: boolean;
  /** Version of the weights of the run's model; undefined: unknown. */
  weightsVersion?: number;
  /** Prompt tokens that it still has to process. */
  pendingTokens: number;
  /** Requests in flight. */
  running: number;
  /** Open runs of this entry whose backup it holds. */
  heldRuns: number;
}

/** Result of choosing an engine. */
export type BackupChoice<Engine> =
  | { kind: "chosen"; engine: Engine }
  /** No engine is eligible. */
  | { kind: "none" };

/** Properties of the run, and chance. */
export interface BackupChoiceOptions {
  /** Zone of the run's engine. */
  zone: string;
  /** Version of the weights with which the run began. */
  weightsVersion: number;
  /** Returns a number from 0 to below 1; decides between engines with equal load. */
  random: () => number;
}

/** Number of unread prompt tokens that load an engine as much as one more running request. */
const PENDING_TOKENS_PER_RUN = 400;

/**
 * Prefers the zone of the run's engine, since the copy is updated several times per second and traffic
 * between zones is expensive.
 *
 * @param engines The other engines of the service.
 * @param options The run, and chance.
 * @returns The least loaded eligible engine, preferably in the run's zone.
 */
export function chooseBackup<Engine extends BackupEngine>(
  engines: Iterable<Engine>,
  { zone, weightsVersion, random }: BackupChoiceOptions,
): BackupChoice<Engine> {
  let best: { engine: Engine; isNear: boolean; load: number } | undefined;
  let equalCount = 0;
  for (const engine of engines) {
    if (!isEligible(engine, weightsVersion)) continue;
    const next = { engine, isNear: engine.zone === zone, load: loadOf(engine) };
    const order = best ? compare(next, best) : -1;
    if (order > 0) continue;
    equalCount = order < 0 ? 1 : equalCount + 1;
    // Each of the engines with equal load is kept with the same probability.
    if (order < 0 || random() * equalCount < 1) best = next;
  }
  return best ? { kind: "chosen", engine: best.engine } : { kind: "none" };
}

function isEligible(engine: BackupEngine, weightsVersion: number): boolean {
  return engine.isAvailable && engine.isCompatible && !engine.isHeldBack &&
    !engine.isNextToChange && engine.weightsVersion === weightsVersion;
}

/**
 * Load in whole requests. Finer differences are left to chance, as all entries have about the same load
 * data for some hundred ms and would otherwise choose the same engine.
 */
function loadOf({ running, pendingTokens, heldRuns }: BackupEngine): number {
  return Math.floor(
    running + heldRuns + pendingTokens / PENDING_TOKENS_PER_RUN,
  );
}

function compare(
  a: { isNear: boolean; load: number },
  b: { isNear: boolean; load: number },
): number {
  if (a.isNear !== b.isNear) return a.isNear ? -1 : 1;
  return a.load - b.load;
}
