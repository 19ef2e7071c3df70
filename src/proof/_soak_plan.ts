/** Plans of faults for the soak: the same seed gives the same plan. */
import { seededRandom } from "../base/random.ts";
import { CutEnding } from "../standin/mod.ts";
import {
  type Fault,
  FaultKind,
  MAX_FOR_MS,
  MIN_FOR_MS,
  QUIET_END_MS,
  type SoakPlan,
  type SoakSizes,
} from "./_soak_fault.ts";
import { planCutOffs } from "./_cut_off_plan.ts";
import { planRestores } from "./_store_plan.ts";

/** Mean time between two faults that are planned one by one. */
const MEAN_PAUSE_MS = 900;
/** Time between the entries of a series. */
const SERIES_PAUSE_MS = 700;
/** Part of the stops and kills that hit all entries in turn. */
const SERIES_SHARE = 0.25;
/** Mean time between two changes of software versions. */
const MEAN_VERSION_PAUSE_MS = 2500;
/** Part of the changes that are releases; the others are restarts with another version. */
const RELEASE_SHARE = 0.5;
/** Part of the releases that replace all engines; the others replace half of them. */
const WHOLE_RELEASE_SHARE = 0.3;
/** Time between the engines of a release. */
const RELEASE_PAUSE_MS = 400;
/** Added to the seed of a plan for its software versions. */
const VERSIONS_SEED = 1_000_003;
/** Added to the seed of a plan for its crashing part. */
const CRASHING_PART_SEED = 2_000_003;
/** Part of the plans that have a crashing part. */
const CRASHING_PART_SHARE = 0.6;
/** Earliest start of a crashing part, and time within which it starts. */
const CRASHING_PART_FROM_MS = 2000;
const CRASHING_PART_SPAN_MS = 1500;
/** Added to the seed of a plan for its answers without a length or chunks. */
const UNFRAMED_SEED = 3_000_003;
/** Mean time between two faults of such answers. */
const MEAN_UNFRAMED_PAUSE_MS = 500;
/** Part of these faults that cut an answer. */
const CUT_SHARE = 0.6;
/** Part of the cuts that are resets. */
const RESET_SHARE = 0.25;
/** Added to the seed of a plan for its late refusals, and mean time between two of these faults. */
const LATE_REFUSALS_SEED = 5_000_003;
const MEAN_LATE_REFUSALS_PAUSE_MS = 2000;
const RATES = [0.5, 1, 2, 5];
/** Part of the changes of a rate that end it. */
const END_RATE_SHARE = 0.3;

/** Kinds, each as often as it is planned relative to the others. */
const WEIGHTED_KINDS: FaultKind[] = [
  FaultKind.stop,
  FaultKind.stop,
  FaultKind.kill,
  FaultKind.freeze,
  FaultKind.storeDown,
  FaultKind.storeSilent,
  FaultKind.rate,
  FaultKind.rate,
  FaultKind.rate,
  FaultKind.serverRestart,
  FaultKind.serverFails,
  FaultKind.config,
];

/**
 * @param seed Seed of the plan.
 * @param sizes Sizes of the fleet, and duration.
 * @returns The plan, its faults by time; they may overlap.
 */
export function planSoak(seed: number, sizes: SoakSizes): SoakPlan {
  const random = seededRandom(seed);
  const faults: Fault[] = [];
  // One server is limited from the start, so that every run has a rate to keep.
  faults.push({
    kind: FaultKind.rate,
    atMs: 0,
    forMs: 0,
    index: 0,
    perSecond: RATES[Math.floor(random() * RATES.length)]!,
  });
  let atMs = 0;
  while (true) {
    atMs += -Math.log(1 - random()) * MEAN_PAUSE_MS;
    if (atMs > sizes.durationMs - QUIET_END_MS) break;
    faults.push(...planFault(Math.round(atMs), random, sizes));
  }
  faults.push(
    ...planVersions(seed, sizes),
    ...planCrashingPart(seed, sizes),
    ...planUnframed(seed, sizes),
    ...planRestores(seed, sizes),
    ...planLateRefusals(seed, sizes),
    ...planCutOffs(seed, sizes, enginesOf(sizes)),
  );
  const kept = faults.filter(({ kind }) => !sizes.without?.includes(kind));
  return { ...sizes, seed, faults: kept.sort((a, b) => a.atMs - b.atMs) };
}

/**
 * @param index Index of a server.
 * @returns Whether it is a model engine; the others answer plain calls.
 */
export function isEngine(index: number): boolean {
  return index % 2 === 1;
}

function enginesOf({ serverCount }: SoakSizes): number[] {
  return Array.from({ length: serverCount }, (_, i) => i).filter(isEngine);
}

/** Plans releases with random numbers of their own, so that the other faults of a seed don't change. */
function planVersions(seed: number, sizes: SoakSizes): Fault[] {
  const random = seededRandom(seed + VERSIONS_SEED);
  const engines = enginesOf(sizes);
  const endMs = sizes.durationMs - QUIET_END_MS;
  const faults: Fault[] = [];
  let newest = 1;
  let atMs = 0;
  while (engines.length > 0) {
    atMs += -Math.log(1 - random()) * MEAN_VERSION_PAUSE_MS;
    if (atMs > endMs) break;
    const first = Math.floor(random() * engines.length);
    const isRelease = random() < RELEASE_SHARE;
    const isWhole = random() < WHOLE_RELEASE_SHARE;
    if (isRelease) newest++;
    const count = !isRelease
      ? 1
      : isWhole
      ? engines.length
      : Math.ceil(engines.length / 2);
    const version = isRelease ? newest : 1 + Math.floor(random() * newest);
    for (let i = 0; i < count; i++) {
      faults.push({
        kind: isRelease ? FaultKind.release : FaultKind.versionRestart,
        atMs: Math.round(atMs + i * RELEASE_PAUSE_MS),
        forMs: 0,
        index: engines[(first + i) % engines.length]!,
        softwareVersion: version,
      });
    }
  }
  return faults.filter((fault) => fault.atMs <= endMs);
}

/** A part that crashes engines until the end, so that requests after its quarantine are seen. */
function planCrashingPart(seed: number, { durationMs }: SoakSizes): Fault[] {
  const random = seededRandom(seed + CRASHING_PART_SEED);
  if (random() >= CRASHING_PART_SHARE) return [];
  const atMs = CRASHING_PART_FROM_MS + random() * CRASHING_PART_SPAN_MS;
  return [{
    kind: FaultKind.crashingPart,
    atMs: Math.round(atMs),
    forMs: Math.round(durationMs - atMs),
    index: 0,
  }];
}

/** Plans whole and cut answers without a length or chunks, with random numbers of their own. */
function planUnframed(
  seed: number,
  { serverCount, durationMs }: SoakSizes,
): Fault[] {
  const random = seededRandom(seed + UNFRAMED_SEED);
  const endings = Object.values(CutEnding);
  const faults: Fault[] = [];
  let atMs = 0;
  while (true) {
    atMs += -Math.log(1 - random()) * MEAN_UNFRAMED_PAUSE_MS;
    if (atMs > durationMs - QUIET_END_MS) return faults;
    const isCut = random() < CUT_SHARE;
    const index = Math.floor(random() * serverCount);
    const forMs = Math.round(
      MIN_FOR_MS + random() * (MAX_FOR_MS - MIN_FOR_MS),
    );
    const cut = {
      isReset: random() < RESET_SHARE,
      ending: endings[Math.floor(random() * endings.length)]!,
    };
    const base = { atMs: Math.round(atMs), index };
    faults.push(
      isCut
        ? { ...base, kind: FaultKind.answerCut, forMs: 0, cut }
        : { ...base, kind: FaultKind.unframed, forMs },
    );
  }
}

function planLateRefusals(
  seed: number,
  { serverCount, durationMs }: SoakSizes,
): Fault[] {
  const random = seededRandom(seed + LATE_REFUSALS_SEED);
  const faults: Fault[] = [];
  let atMs = 0;
  while (true) {
    atMs += -Math.log(1 - random()) * MEAN_LATE_REFUSALS_PAUSE_MS;
    if (atMs > durationMs - QUIET_END_MS) return faults;
    faults.push({
      kind: FaultKind.lateRefusals,
      atMs: Math.round(atMs),
      forMs: Math.round(MIN_FOR_MS + random() * (MAX_FOR_MS - MIN_FOR_MS)),
      index: Math.floor(random() * serverCount),
    });
  }
}

function planFault(
  atMs: number,
  random: () => number,
  { entryCount, serverCount, durationMs }: SoakSizes,
): Fault[] {
  const pick = (count: number) => Math.floor(random() * count);
  const kind = WEIGHTED_KINDS[pick(WEIGHTED_KINDS.length)]!;
  const forMs = Math.round(
    MIN_FOR_MS + random() * (MAX_FOR_MS - MIN_FOR_MS),
  );
  switch (kind) {
    case FaultKind.stop:
    case FaultKind.kill: {
      const isSeries = random() < SERIES_SHARE;
      const first = pick(entryCount);
      const count = isSeries ? entryCount : 1;
      return Array.from({ length: count }, (_, i) => ({
        kind,
        atMs: atMs + i * SERIES_PAUSE_MS,
        forMs: 0,
        index: (first + i) % entryCount,
      })).filter((fault) => fault.atMs <= durationMs - QUIET_END_MS);
    }
    case FaultKind.freeze:
    case FaultKind.storeSilent:
      return [{ kind, atMs, forMs, index: pick(entryCount) }];
    case FaultKind.storeDown:
    case FaultKind.config:
      return [{ kind, atMs, forMs, index: 0 }];
    case FaultKind.rate: {
      const isEnd = random() < END_RATE_SHARE;
      const perSecond = isEnd ? undefined : RATES[pick(RATES.length)]!;
      return [{ kind, atMs, forMs: 0, index: pick(serverCount), perSecond }];
    }
    case FaultKind.serverRestart:
    case FaultKind.serverFails:
    case FaultKind.release:
    case FaultKind.versionRestart:
    case FaultKind.crashingPart:
    case FaultKind.unframed:
    case FaultKind.answerCut:
    case FaultKind.storeRestore:
    case FaultKind.leave:
    case FaultKind.lateRefusals:
    case FaultKind.cutOff:
    case FaultKind.takeUps:
      return [{ kind, atMs, forMs, index: pick(serverCount) }];
  }
}
