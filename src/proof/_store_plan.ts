/** Plans restores of the store for the soak. */
import { seededRandom } from "../base/random.ts";
import {
  type Fault,
  FaultKind,
  MAX_FOR_MS,
  MIN_FOR_MS,
  QUIET_END_MS,
  type SoakSizes,
} from "./_soak_fault.ts";
import { STABLE_MS } from "./_soak_history.ts";

/** Added to the seed of a plan for its restores of the store. */
const RESTORES_SEED = 4_000_003;
/** Part of the plans that have such restores. */
const RESTORES_SHARE = 0.75;
/** Part of the restores that are followed by another one. */
const SECOND_RESTORE_SHARE = 0.3;
/** Part of the restores that overlap with a fault of an entry. */
const OVERLAP_SHARE = 0.6;
const OVERLAP_MS = 1000;
const OVERLAPPING_KINDS = [
  FaultKind.kill,
  FaultKind.freeze,
  FaultKind.storeSilent,
];
const MIN_COPY_AGE_MS = 500;
const MAX_COPY_AGE_MS = 4000;
const MAX_AWAY_MS = 1500;
/** Writes that are lost beside the usual ones. */
const LOST_WRITES = [0, 30, 200];
/** Time from which on changes bind again, after a restore, within which they are made. */
const CHANGES_MS = 1200;
/** Time for which a server that leaves goes on. */
const LEAVE_FOR_MS = 4500;
/** Time from the last change after a restore to the next copy, in which the changes are checked. */
const MIN_RESTORE_PAUSE_MS = 2500;
const MEAN_RESTORE_PAUSE_MS = 2000;
/** Mean time to the first copy. */
const MEAN_FIRST_COPY_MS = 1250;

/**
 * Plans restores of the store and changes soon after, with random numbers of their own, so that the
 * other faults of a seed don't change.
 *
 * @param seed Seed of the plan.
 * @param sizes Sizes of the fleet, and duration.
 * @returns The faults.
 */
export function planRestores(seed: number, sizes: SoakSizes): Fault[] {
  const { serverCount, durationMs, without } = sizes;
  if (without?.includes(FaultKind.storeRestore)) return [];
  const random = seededRandom(seed + RESTORES_SEED);
  const faults: Fault[] = [];
  const endMs = random() < RESTORES_SHARE ? durationMs - QUIET_END_MS : 0;
  const pauseMs = (meanMs: number) => -Math.log(1 - random()) * meanMs;
  let copyMs = MIN_FOR_MS + pauseMs(MEAN_FIRST_COPY_MS);
  while (copyMs <= endMs) {
    const stableMs = planRound(faults, copyMs, { random, sizes }) + STABLE_MS;
    for (const kind of [FaultKind.leave, FaultKind.config]) {
      const atMs = Math.round(stableMs + random() * CHANGES_MS);
      const index = Math.floor(random() * serverCount);
      faults.push({ kind, atMs, forMs: LEAVE_FOR_MS, index });
    }
    copyMs = stableMs + CHANGES_MS + MIN_RESTORE_PAUSE_MS +
      pauseMs(MEAN_RESTORE_PAUSE_MS);
  }
  return faults.filter(({ atMs, restore }) =>
    atMs + (restore ? restore.copyAgeMs + restore.awayMs : 0) <= endMs
  );
}

/**
 * Plans one or two restores, and perhaps a fault of an entry.
 *
 * @returns When the store is back.
 */
function planRound(
  faults: Fault[],
  copyMs: number,
  { random, sizes }: { random: () => number; sizes: SoakSizes },
): number {
  let backMs = pushRestore(faults, copyMs, random);
  if (random() < SECOND_RESTORE_SHARE) {
    const secondMs = copyMs + random() * (backMs - copyMs + OVERLAP_MS);
    backMs = Math.max(backMs, pushRestore(faults, secondMs, random));
  }
  if (random() < OVERLAP_SHARE) {
    faults.push(overlappingFault(backMs, random, sizes));
  }
  return backMs;
}

/** @returns When the store is back. */
function pushRestore(
  faults: Fault[],
  atMs: number,
  random: () => number,
): number {
  const span = MAX_COPY_AGE_MS - MIN_COPY_AGE_MS;
  const restore = {
    copyAgeMs: Math.round(MIN_COPY_AGE_MS + random() * span),
    lostWrites: LOST_WRITES[Math.floor(random() * LOST_WRITES.length)]!,
    awayMs: Math.round(random() * MAX_AWAY_MS),
  };
  faults.push({
    kind: FaultKind.storeRestore,
    atMs: Math.round(atMs),
    forMs: restore.awayMs,
    index: 0,
    restore,
  });
  return atMs + restore.copyAgeMs + restore.awayMs;
}

function overlappingFault(
  backMs: number,
  random: () => number,
  { entryCount }: SoakSizes,
): Fault {
  const pick = (count: number) => Math.floor(random() * count);
  return {
    kind: OVERLAPPING_KINDS[pick(OVERLAPPING_KINDS.length)]!,
    atMs: Math.round(backMs + (random() - 0.5) * 2 * OVERLAP_MS),
    forMs: MIN_FOR_MS + pick(MAX_FOR_MS - MIN_FOR_MS),
    index: pick(entryCount),
  };
}
