/** Builds the report: each contestant's figures over all seeds, and ratios to the baselines. */
import { PolicyName } from "../placement/mod.ts";
import { type ContestantName, ORACLE } from "./run_once.ts";
import type {
  ClassFigures,
  RecoveryFigures,
  RunFigures,
  Spread,
} from "./summary.ts";
import { spreadOf } from "./summary.ts";

/** Figures of one contestant: one entry per seed, and recovery by class. */
export interface ContestantReport {
  name: ContestantName;
  runs: RunFigures[];
  recovery: Record<string, RecoveryFigures>;
}

/** Results of all contestants; printed as JSON or as Markdown. */
export interface Report {
  workload: string;
  command: string;
  seeds: number[];
  without: string[];
  contestants: ContestantReport[];
}

/** A table row: how to read one figure from a run and how to format it. */
export interface FigureRow {
  name: string;
  digits: number;
  getValue: (run: RunFigures) => number;
  /** True if lower is better; the row then shows the ratio to the best baseline. */
  hasRatio: boolean;
}

const CLASS_FIGURES: [keyof ClassFigures, string, number, boolean][] = [
  ["ttftP50Ms", "ttft p50 ms", 0, true],
  ["ttftP95Ms", "ttft p95 ms", 0, true],
  ["ttftP99Ms", "ttft p99 ms", 0, true],
  ["ttftP99AllMs", "ttft p99 ms, refused at deadline", 0, true],
  ["hitRate", "hit rate", 3, false],
  ["wastedShare", "wasted share", 4, true],
  ["lateShare", "late or lost share", 4, false],
  ["refusedShare", "refused share", 4, false],
];

/**
 * @param report The report; its first run determines the classes and pools.
 * @returns The rows of the report's table.
 */
export function figureRows(report: Report): FigureRow[] {
  const [first] = report.contestants[0]!.runs;
  const rows: FigureRow[] = [
    createRow("all", "hit rate", { digits: 3, getValue: (run) => run.hitRate }),
    createRow("all", "wasted share", {
      digits: 4,
      hasRatio: true,
      getValue: (run) => run.wastedShare,
    }),
  ];
  for (const name of Object.keys(first!.classes)) {
    for (const [figure, title, digits, hasRatio] of CLASS_FIGURES) {
      const getValue = (run: RunFigures) => run.classes[name]![figure];
      rows.push(createRow(name, title, { digits, hasRatio, getValue }));
    }
  }
  for (const pool of Object.keys(first!.imbalance)) {
    rows.push(
      createRow(pool, "imbalance", {
        digits: 2,
        getValue: (run) => run.imbalance[pool]!,
      }),
    );
  }
  rows.push(
    createRow("all", "control messages", {
      digits: 2,
      getValue: (run) => run.controlMessages,
    }),
    createRow("all", "control bytes", {
      digits: 0,
      getValue: (run) => run.controlBytes,
    }),
    createRow("all", "refusals", {
      digits: 0,
      getValue: (run) => run.refusals,
    }),
    createRow("all", "refusals without Retry-After", {
      digits: 0,
      getValue: (run) => run.refusalsWithoutRetryAfter,
    }),
  );
  return rows;
}

/**
 * @param contestant The contestant whose runs are read.
 * @param figure The figure to read from each run.
 * @returns The figure's median and range over seeds.
 */
export function spreadOfFigure(
  contestant: ContestantReport,
  figure: FigureRow,
): Spread {
  return spreadOf(contestant.runs.map(figure.getValue));
}

/**
 * @param report A report that should include `offers` and at least one baseline.
 * @param figure A figure for which lower is better.
 * @returns The median of `offers` divided by the lowest median of the baselines; undefined when
 *   `offers` or every baseline is missing.
 */
export function ratioToBaselines(
  report: Report,
  figure: FigureRow,
): number | undefined {
  const offersReport = report.contestants.find(({ name }) =>
    name === PolicyName.Offers
  );
  const baselines = report.contestants.filter(({ name }) => {
    return name !== PolicyName.Offers && name !== ORACLE;
  });
  if (!offersReport || baselines.length === 0) return undefined;
  const best = Math.min(
    ...baselines.map((each) => spreadOfFigure(each, figure).median),
  );
  return spreadOfFigure(offersReport, figure).median / best;
}

/**
 * @param report The report to format.
 * @returns A Markdown table with the median and the range over seeds of each figure.
 */
export function toMarkdown(report: Report): string {
  const names = report.contestants.map(({ name }) => name);
  const lines = [
    `| class or pool | figure | ${
      names.join(" | ")
    } | offers / best baseline |`,
    `| --- | --- | ${names.map(() => "---").join(" | ")} | --- |`,
  ];
  for (const figure of figureRows(report)) {
    const cells = report.contestants.map((each) =>
      formatCell(spreadOfFigure(each, figure), figure)
    );
    const ratio = figure.hasRatio
      ? ratioToBaselines(report, figure)
      : undefined;
    lines.push(
      `| ${figure.name} | ${cells.join(" | ")} | ${ratio?.toFixed(2) ?? ""} |`,
    );
  }
  return [...lines, ...recoveryLines(report)].join("\n");
}

function createRow(
  group: string,
  title: string,
  rest: Omit<FigureRow, "name" | "hasRatio"> & { hasRatio?: boolean },
): FigureRow {
  return { hasRatio: false, ...rest, name: `${group} | ${title}` };
}

function formatCell(
  { median, lowest, highest }: Spread,
  { digits }: FigureRow,
): string {
  const [middle, low, high] = [median, lowest, highest].map((value) =>
    value.toFixed(digits)
  );
  return low === high ? middle! : `${middle} (${low} to ${high})`;
}

function recoveryLines({ contestants }: Report): string[] {
  const lines: string[] = [];
  const events = ["shiftRatio", "crashRatio", "drainRatio"] as const;
  for (const name of Object.keys(contestants[0]!.recovery)) {
    for (const event of events) {
      const cells = contestants.map(({ recovery }) =>
        recovery[name]![event].toFixed(2)
      );
      const title = `p95 5 to 15 s after the ${
        event.replace("Ratio", "")
      }, over before`;
      lines.push(`| ${name} | ${title} | ${cells.join(" | ")} | |`);
    }
  }
  return lines;
}
