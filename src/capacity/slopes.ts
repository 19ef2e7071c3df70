/** Measured slopes: the cost of each additional unit, with the command that measured it. */
import { Result } from "true-myth";
import { z } from "zod";

const POINT = z.strictObject({ x: z.number(), y: z.number() });

const SLOPE = z.strictObject({
  /** Key of the slope in the capacity model. */
  name: z.string(),
  /** Short description of the measured quantity. */
  what: z.string(),
  unit: z.string(),
  /** Command that runs the measurement. */
  command: z.string(),
  /** Unit of `x`. */
  per: z.string(),
  points: z.array(POINT),
  /** Least-squares slope of `y` over `x`, from the median run. */
  slope: z.number(),
  intercept: z.number(),
  /** Lowest and highest slope over the runs. */
  spread: z.tuple([z.number(), z.number()]),
});

/** Schema of docs/data/slopes.json. */
export const SLOPES = z.array(SLOPE);

/** A measured slope with its points. */
export type Slope = z.infer<typeof SLOPE>;
/** One measurement: `y` at count or rate `x`. */
export type Point = z.infer<typeof POINT>;

/** Name, units and command of a slope. */
export interface SlopeDescription {
  name: string;
  what: string;
  unit: string;
  per: string;
  command: string;
}

/** Validation error of a slopes file. */
export type SlopesFailure = { kind: "invalid_slopes"; message: string };

/**
 * Fits a line to the points of each run and takes the run with the median slope.
 *
 * @param description Name, units and command of the slope.
 * @param runs Points of each run; at least one run, each with at least two points.
 * @returns The slope, with the lowest and highest slope of all runs as its spread.
 */
export function fitSlope(
  description: SlopeDescription,
  runs: Point[][],
): Slope {
  const fits = runs.map((points) => ({ points, ...fitLine(points) }));
  fits.sort((a, b) => a.slope - b.slope);
  const median = fits[Math.floor(fits.length / 2)]!;
  return {
    ...description,
    points: median.points,
    slope: median.slope,
    intercept: median.intercept,
    spread: [fits[0]!.slope, fits.at(-1)!.slope],
  };
}

/**
 * @param json Text of a slopes file; a SyntaxError is thrown if it is not JSON.
 * @returns The slopes, or a description of the validation errors.
 */
export function parseSlopes(json: string): Result<Slope[], SlopesFailure> {
  const parsed = SLOPES.safeParse(JSON.parse(json));
  if (parsed.success) return Result.ok(parsed.data);
  return Result.err({
    kind: "invalid_slopes",
    message: z.prettifyError(parsed.error),
  });
}

function fitLine(points: Point[]): { slope: number; intercept: number } {
  const n = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / n;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / n;
  let xy = 0;
  let xx = 0;
  for (const { x, y } of points) {
    xy += (x - meanX) * (y - meanY);
    xx += (x - meanX) ** 2;
  }
  const slope = xx === 0 ? 0 : xy / xx;
  return { slope, intercept: meanY - slope * meanX };
}
