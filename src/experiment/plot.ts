/** Renders the report as an SVG chart. */
import { BarChart } from "echarts/charts";
import {
  GridComponent,
  LegendComponent,
  TitleComponent,
} from "echarts/components";
import { init, use } from "echarts/core";
import { SVGRenderer } from "echarts/renderers";
import {
  type ContestantReport,
  figureRows,
  type Report,
  spreadOfFigure,
} from "./report.ts";

const WIDTH = 1100;
const HEIGHT = 560;
const PANELS = [
  { title: "ttft p99 ms", axis: "log" },
  { title: "hit rate", axis: "value" },
  { title: "wasted share", axis: "value" },
] as const;
const PANEL_WIDTH = 28;
const PANEL_LEFT = [6, 40, 72] as const;

/**
 * @param report The report to draw.
 * @returns SVG with time to first token, hit rate and wasted share by class, with one bar for each
 *   contestant.
 */
export function plot(report: Report): string {
  use([BarChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer]);
  const chart = init(null, null, {
    renderer: "svg",
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  chart.setOption({
    animation: false,
    title: PANELS.map(({ title }, panel) => ({
      text: title,
      left: `${PANEL_LEFT[panel]}%`,
    })),
    legend: { bottom: 0 },
    grid: PANELS.map((_, panel) => ({
      left: `${PANEL_LEFT[panel]}%`,
      width: `${PANEL_WIDTH}%`,
      bottom: 70,
    })),
    xAxis: PANELS.map((_, panel) => ({
      type: "category",
      gridIndex: panel,
      data: classNames(report),
    })),
    yAxis: PANELS.map(({ axis }, panel) => ({ type: axis, gridIndex: panel })),
    series: report.contestants.flatMap((each) => {
      return PANELS.map(({ title }, panel) => ({
        type: "bar",
        name: each.name,
        xAxisIndex: panel,
        yAxisIndex: panel,
        data: mediansOf(report, each, title),
      }));
    }),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function classNames(report: Report): string[] {
  return Object.keys(report.contestants[0]!.runs[0]!.classes);
}

function mediansOf(
  report: Report,
  contestant: ContestantReport,
  title: string,
): number[] {
  const rows = figureRows(report);
  return classNames(report).map((name) => {
    const figure = rows.find((row) => row.name === `${name} | ${title}`)!;
    return spreadOfFigure(contestant, figure).median;
  });
}
