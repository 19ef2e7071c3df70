/** Plans releases during which an entry is cut off or suspended, for the soak. */
import { seededRandom } from "../base/random.ts";
import {
  type Fault,
  FaultKind,
  MAX_FOR_MS,
  MIN_FOR_MS,
  QUIET_END_MS,
  type SoakSizes,
} from "./_soak_fault.ts";

/** Added to the seed of a plan for its entries that are cut off. */
const CUT_OFFS_SEED = 6_000_003;
/** Part of the plans that have such entries. */
const CUT_OFFS_SHARE = 0.75;
/** Shortest time for which an entry is cut off. */
const MIN_CUT_OFF_MS = 1200;
/** Time from the beginning to the release. */
const MIN_RELEASE_DELAY_MS = 100;
const MAX_RELEASE_DELAY_MS = 800;
/** Time between the engines of a release. */
const RELEASE_PAUSE_MS = 100;
/** Time for which streams are taken up at the entry afterwards. */
const TAKE_UPS_AFTER_MS = 1000;
/** Mean time from one entry's return, or the start, to the next one's fault. */
const MEAN_PAUSE_MS = 2500;
/** The versions of these releases are above those of all others. */
const FIRST_VERSION = 1000;

/** What happens to the entry during a release; `both`: it is suspended while it is cut off. */
const Round = { cutOff: "cutOff", freeze: "freeze", both: "both" } as const;
type Round = typeof Round[keyof typeof Round];

/**
 * Plans entries that can't know of a release while streams of the new version are taken up there, with
 * random numbers of their own, so that the other faults of a seed don't change.
 *
 * @param seed Seed of the plan.
 * @param sizes Sizes of the fleet, and duration.
 * @param engines Indexes of the engines.
 * @returns The faults.
 */
export function planCutOffs(
  seed: number,
  { entryCount, durationMs, without }: SoakSizes,
  engines: readonly number[],
): Fault[] {
  if (without?.includes(FaultKind.cutOff)) return [];
  const random = seededRandom(seed + CUT_OFFS_SEED);
  const pick = (count: number) => Math.floor(random() * count);
  const between = (minMs: number, maxMs: number) =>
    Math.round(minMs + random() * (maxMs - minMs));
  const pauseMs = () => Math.round(-Math.log(1 - random()) * MEAN_PAUSE_MS);
  const endMs = random() < CUT_OFFS_SHARE ? durationMs - QUIET_END_MS : 0;
  const faults: Fault[] = [];
  let atMs = MIN_FOR_MS + pauseMs();
  for (let round = 0; atMs <= endMs; round++) {
    const forMs = between(MIN_CUT_OFF_MS, MAX_FOR_MS);
    const index = pick(entryCount);
    const kind = Object.values(Round)[pick(3)]!;
    faults.push(...planRound(kind, { atMs, forMs, index }));
    const takeUpMs = forMs + TAKE_UPS_AFTER_MS;
    faults.push({ kind: FaultKind.takeUps, atMs, forMs: takeUpMs, index });
    const releaseMs = atMs +
      between(MIN_RELEASE_DELAY_MS, MAX_RELEASE_DELAY_MS);
    const first = pick(engines.length);
    for (let i = 0; i < Math.ceil(engines.length / 2); i++) {
      faults.push({
        kind: FaultKind.release,
        atMs: releaseMs + i * RELEASE_PAUSE_MS,
        forMs: 0,
        index: engines[(first + i) % engines.length]!,
        softwareVersion: FIRST_VERSION + round,
      });
    }
    atMs += takeUpMs + pauseMs();
  }
  return faults;
}

function planRound(
  round: Round,
  { atMs, forMs, index }: Omit<Fault, "kind">,
): Fault[] {
  switch (round) {
    case Round.cutOff:
      return [{ kind: FaultKind.cutOff, atMs, forMs, index }];
    case Round.freeze:
      return [{ kind: FaultKind.freeze, atMs, forMs, index }];
    case Round.both: {
      const thirdMs = Math.round(forMs / 3);
      const freezeAtMs = atMs + thirdMs;
      return [
        { kind: FaultKind.cutOff, atMs, forMs, index },
        { kind: FaultKind.freeze, atMs: freezeAtMs, forMs: thirdMs, index },
      ];
    }
  }
}
